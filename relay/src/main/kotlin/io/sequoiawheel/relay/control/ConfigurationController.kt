package io.sequoiawheel.relay.control

import io.sequoiawheel.core.relay.ClockReading
import io.sequoiawheel.core.relay.ConfigurationOrder
import io.sequoiawheel.core.relay.Freshness
import io.sequoiawheel.core.relay.ListReliability
import io.sequoiawheel.core.relay.RelayConfiguration
import io.sequoiawheel.platform.ConfigurationCodec
import io.sequoiawheel.platform.StoreEvent
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.platform.StoreObject
import io.sequoiawheel.platform.StoreProtocol
import io.sequoiawheel.platform.UnreadableDocumentException
import io.sequoiawheel.relay.internal.DecisionLog
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Holds the configuration in force, which [ConfigurationOrder] decides. Confined to the event loop. */
internal class ConfigurationController(
    private val store: StoreClient,
    private val freshness: Freshness,
    private val order: ConfigurationOrder,
    private val scope: CoroutineScope,
    private val log: DecisionLog,
) : KindListener {
    /** The configuration in force, or null before the first. */
    var current: RelayConfiguration? = null
        private set

    private var era: Long? = null
    private var isReadable = true
    private var refresh: Job? = null
    private var proofAwaited = CompletableDeferred<Unit>()

    override fun listed(
        listing: StoreListing,
        standing: ListReliability,
    ) {
        era = listing.era
        order.enterEra(era)
        listing.objects.firstOrNull { it.name == StoreProtocol.CONFIGURATION_NAME }?.let(::apply)
    }

    override fun changed(
        event: StoreEvent,
        afterOutage: Boolean,
    ) {
        if (event.target.name != StoreProtocol.CONFIGURATION_NAME) return
        if (event.isDeleted) {
            log.belief("configuration deleted, kept in force", mapOf("version" to current?.version))
        } else {
            apply(event.target)
        }
    }

    override fun proven(asOf: ClockReading) {
        if (!isReadable || !order.confirmsCurrent(asOf.monotonicMillis)) return
        freshness.confirm(asOf)
        if (freshness.isFresh()) proofAwaited.complete(Unit)
    }

    /** Waits a moment for a proof that the configuration is fresh, reading the store if a clock's step withdrew it. */
    suspend fun awaitFresh(): Boolean {
        if (freshness.isFresh()) return true
        if (refresh?.isActive != true) refresh = scope.launch { readNow() }
        if (proofAwaited.isCompleted) proofAwaited = CompletableDeferred()
        withTimeoutOrNull(PROOF_WAIT_MILLIS) { proofAwaited.await() }
        return freshness.isFresh()
    }

    private suspend fun readNow() {
        val asOf = freshness.now()
        store.list(StoreKind.CONFIGURATION).map {
            listed(it, ListReliability.CERTAIN)
            proven(asOf)
        }
    }

    private fun apply(target: StoreObject) {
        val decoded =
            try {
                ConfigurationCodec.decode(target.spec ?: throw UnreadableDocumentException("spec is no object"))
            } catch (unreadable: UnreadableDocumentException) {
                isReadable = false
                log.belief(
                    "configuration unreadable, older one kept in force",
                    mapOf("revision" to target.revision, "detail" to unreadable.message),
                )
                return
            }
        isReadable = true
        val before = current
        if (!order.observe(era, target.revision, decoded.version)) {
            if (before != null && decoded.version < before.version) {
                log.belief(
                    "older configuration shown, newer one kept in force",
                    mapOf("shown" to decoded.version, "version" to before.version, "era" to era),
                )
            }
            return
        }
        current = decoded
        log.belief(
            "configuration in force",
            mapOf(
                "version" to decoded.version,
                "revision" to target.revision,
                "era" to era,
                "before" to before?.version,
            ),
        )
    }

    private companion object {
        /** The store answers in 4 ms; when it is slow, in under 300 ms. */
        const val PROOF_WAIT_MILLIS = 350L
    }
}
