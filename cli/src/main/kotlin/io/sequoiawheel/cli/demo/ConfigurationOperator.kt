package io.sequoiawheel.cli.demo

import arrow.core.getOrElse
import io.sequoiawheel.cli.CommandFailure
import io.sequoiawheel.core.configuration.AcceptedDocument
import io.sequoiawheel.core.configuration.ConfigurationReader
import io.sequoiawheel.core.configuration.InForceStatus
import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.DocumentCodec
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap

/** Writes service documents and checks that accepted ones come into force at every entry instance and stay (P9). */
internal class ConfigurationOperator(
    private val plan: DemoPlan,
    private val api: ObjectApi,
    private val recorder: DemoRecorder,
    private val entryCount: () -> Int,
) {
    private val reader = ConfigurationReader(api)
    private val accepted = ConcurrentHashMap<ServiceName, AcceptedDocument>()
    private val highestInForce = ConcurrentHashMap<Pair<String, ServiceName>, Long>()

    /** Replaces the current document with [document] and waits until it is accepted. */
    suspend fun put(document: ServiceDocument): AcceptedDocument {
        val key = ObjectKey(ObjectKind.DOCUMENT, document.service.value)
        val text = DocumentCodec.encode(document)
        val version = write(key, text)
        val deadline = recorder.now() + ACCEPTANCE_MILLIS
        while (recorder.now() < deadline) {
            readAccepted(document.service)?.takeIf { it.documentVersion >= version }?.let { found ->
                recordAccepted(found)
                return found
            }
            delay(POLL_MILLIS)
        }
        throw CommandFailure(
            ResultCode.NOT_YET_IN_FORCE,
            "${document.service} was not accepted within $ACCEPTANCE_MILLIS ms",
        )
    }

    /** Waits until [document] is in force at every entry instance. Records a violation if that takes too long. */
    suspend fun awaitInForce(document: AcceptedDocument): Long {
        val startMillis = recorder.now()
        while (recorder.now() - startMillis < IN_FORCE_MILLIS) {
            val statuses = readInForce()
            val generations = statuses.map { it.report.lowest[document.service] ?: 0 }
            val isEverywhere =
                statuses.size == plan.entryZones.distinct().size &&
                    statuses.sumOf { it.report.instances } >= entryCount() &&
                    generations.all { it >= document.generation }
            if (isEverywhere) return recorder.now() - startMillis
            delay(POLL_MILLIS)
        }
        val states =
            readInForce().joinToString {
                "${it.zone}: ${it.report.instances} instances at ${it.report.lowest}"
            }
        recorder.recordViolation(
            Promise.P9,
            "generation ${document.generation} of ${document.service} not in force after $IN_FORCE_MILLIS ms: $states",
        )
        return recorder.now() - startMillis
    }

    /** Checks for reverts to an older generation until it is cancelled. */
    suspend fun watchReverts() {
        while (true) {
            readInForce().forEach(::checkRevert)
            delay(POLL_MILLIS)
        }
    }

    /** Records the audit trail of every accepted document. */
    suspend fun recordAudits() =
        accepted.keys.forEach { service ->
            val current = readAccepted(service) ?: return@forEach
            recorder.record(HistoryEvent.AuditRead(recorder.now(), service, current.audit.map { it.generation }))
        }

    private suspend fun write(
        key: ObjectKey,
        text: String,
    ): Long {
        repeat(WRITE_ATTEMPTS) {
            val current =
                api.get(key).fold({
                    if (it.code ==
                        ResultCode.OBJECT_NOT_FOUND
                    ) {
                        0L
                    } else {
                        null
                    }
                }, { it.version })
            if (current != null) api.put(key, text, current).getOrNull()?.let { return it }
            // The response may have been lost after the write took effect.
            api
                .get(key)
                .getOrNull()
                ?.takeIf { it.value == text }
                ?.let { return it.version }
            delay(POLL_MILLIS)
        }
        throw CommandFailure(ResultCode.PLATFORM_UNAVAILABLE, "cannot write ${key.kind.path}/${key.name}")
    }

    private suspend fun readAccepted(service: ServiceName): AcceptedDocument? = reader.accepted(service).getOrNull()

    private suspend fun readInForce(): List<InForceStatus> = reader.inForce().getOrElse { emptyList() }

    private fun recordAccepted(document: AcceptedDocument) {
        accepted[document.service] = document
        val event =
            HistoryEvent.DocumentAccepted(
                recorder.now(),
                document.service,
                document.generation,
                document.documentVersion,
            )
        recorder.record(event)
    }

    private fun checkRevert(status: InForceStatus) {
        if (!status.isComplete) return
        status.report.lowest.forEach { (service, generation) ->
            val zoneAndService = status.zone.value to service
            val highest = highestInForce.merge(zoneAndService, generation, ::maxOf) ?: generation
            if (generation < highest) {
                recorder.recordViolation(
                    Promise.P9,
                    "${zoneAndService.first} reverted $service from generation $highest to $generation",
                )
            }
        }
    }

    /** Returns a copy of [document] with [zone] out of service if [isOut], otherwise with every zone in service. */
    fun withZone(
        document: ServiceDocument,
        zone: ZoneName,
        isOut: Boolean,
    ): ServiceDocument = document.copy(zonesOut = if (isOut) listOf(zone) else emptyList())

    private companion object {
        /** The specified time within which a change must be in force everywhere. */
        const val IN_FORCE_MILLIS = 14_000L

        /** The first acceptor must acquire the lease first, which takes at most one lease term and its margin. */
        const val ACCEPTANCE_MILLIS = 25_000L
        const val POLL_MILLIS = 200L
        const val WRITE_ATTEMPTS = 5
    }
}
