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

/** Puts service documents as operators do, and checks that accepted ones come into force everywhere and stay (P9). */
internal class ConfigurationOperator(
    private val plan: DemoPlan,
    private val api: ObjectApi,
    private val notes: DemoNotes,
    private val entryCount: () -> Int,
) {
    private val reader = ConfigurationReader(api)
    private val accepted = ConcurrentHashMap<ServiceName, AcceptedDocument>()
    private val highestInForce = ConcurrentHashMap<Pair<String, ServiceName>, Long>()

    /** Writes [document] over the current one and waits until it is accepted. */
    suspend fun put(document: ServiceDocument): AcceptedDocument {
        val key = ObjectKey(ObjectKind.DOCUMENT, document.service.value)
        val text = DocumentCodec.encode(document)
        val version = write(key, text)
        val deadline = notes.now() + ACCEPTANCE_MILLIS
        while (notes.now() < deadline) {
            readAccepted(document.service)?.takeIf { it.documentVersion >= version }?.let { found ->
                noteAccepted(found)
                return found
            }
            delay(POLL_MILLIS)
        }
        throw CommandFailure(
            ResultCode.NOT_YET_IN_FORCE,
            "${document.service} was not accepted in $ACCEPTANCE_MILLIS ms",
        )
    }

    /** Waits until [document] is in force at every entry instance; notes a violation if that takes too long. */
    suspend fun awaitInForce(document: AcceptedDocument): Long {
        val started = notes.now()
        while (notes.now() - started < IN_FORCE_MILLIS) {
            val statuses = readInForce()
            val generations = statuses.map { it.report.lowest[document.service] ?: 0 }
            val isEverywhere =
                statuses.size == plan.entryZones.distinct().size &&
                    statuses.sumOf { it.report.instances } >= entryCount() &&
                    generations.all { it >= document.generation }
            if (isEverywhere) return notes.now() - started
            delay(POLL_MILLIS)
        }
        val seen = readInForce().joinToString { "${it.zone}: ${it.report.instances} at ${it.report.lowest}" }
        notes.violate(
            Promise.P9,
            "generation ${document.generation} of ${document.service} is not in force after $IN_FORCE_MILLIS ms: $seen",
        )
        return notes.now() - started
    }

    /** Watches for reverts until it is cancelled. */
    suspend fun watchReverts() {
        while (true) {
            readInForce().forEach(::checkRevert)
            delay(POLL_MILLIS)
        }
    }

    /** Reads the audit trails at the end of the run. */
    suspend fun readAudits() =
        accepted.keys.forEach { service ->
            val current = readAccepted(service) ?: return@forEach
            notes.record(HistoryEvent.AuditRead(notes.now(), service, current.audit.map { it.generation }))
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
            // An answer may have been lost after the write took effect.
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

    private fun noteAccepted(document: AcceptedDocument) {
        accepted[document.service] = document
        val event =
            HistoryEvent.DocumentAccepted(
                notes.now(),
                document.service,
                document.generation,
                document.documentVersion,
            )
        notes.record(event)
    }

    private fun checkRevert(status: InForceStatus) {
        if (!status.isComplete) return
        status.report.lowest.forEach { (service, generation) ->
            val place = status.zone.value to service
            val before = highestInForce.merge(place, generation, ::maxOf) ?: generation
            if (generation < before) {
                notes.violate(Promise.P9, "${place.first} went back from generation $before to $generation of $service")
            }
        }
    }

    /** Returns [document] with [zone] taken out, or returned. */
    fun withZone(
        document: ServiceDocument,
        zone: ZoneName,
        isOut: Boolean,
    ): ServiceDocument = document.copy(zonesOut = if (isOut) listOf(zone) else emptyList())

    private companion object {
        /** The stated time within which a change is in force everywhere. */
        const val IN_FORCE_MILLIS = 14_000L

        /** A first acceptor must win the lease first, which takes at most a term and its margin. */
        const val ACCEPTANCE_MILLIS = 25_000L
        const val POLL_MILLIS = 200L
        const val WRITE_ATTEMPTS = 5
    }
}
