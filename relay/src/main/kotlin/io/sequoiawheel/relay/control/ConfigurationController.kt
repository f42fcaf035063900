package io.sequoiawheel.relay.control

import io.sequoiawheel.core.relay.ClockReading
import io.sequoiawheel.core.relay.ConfigurationOrder
import io.sequoiawheel.core.relay.Freshness
import io.sequoiawheel.core.relay.ListReliability
import io.sequoiawheel.core.relay.RelayConfiguration
import io.sequoiawheel.platform.ConfigurationCodec
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.platform.StoreObject
import io.sequoiawheel.platform.StoreProtocol
import io.sequoiawheel.platform.UnreadableDocumentException
import io.sequoiawheel.relay.internal.DecisionLog
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/**
 * A version of the configuration as it was read from the store.
 *
 * @property configuration the configuration, or null if it could not be read
 * @property unreadable why it could not be read, or null
 */
internal class ReadConfiguration(
    val revision: Long,
    val configuration: RelayConfiguration?,
    val unreadable: String? = null,
)

/**
 * Holds the configuration in force. [ConfigurationOrder] decides whether a version read from the store replaces it.
 * Confined to the event loop.
 */
internal class ConfigurationController(
    private val store: StoreClient,
    private val freshness: Freshness,
    private val order: ConfigurationOrder,
    private val scope: CoroutineScope,
    private val log: DecisionLog,
) : KindListener<ReadConfiguration> {
    /** The configuration in force, or null until the first one was read. */
    var current: RelayConfiguration? = null
        private set

    /** Whether a newer configuration than the one in force is known to have been in force at another instance. */
    val isOutdated: Boolean get() = order.isOutdated

    private var era: Long? = null
    private var isReadable = true
    private var hasConfirmed = false
    private var startCheck: Job? = null
    private var refresh: Job? = null
    private var freshnessConfirmed = CompletableDeferred<Unit>()

    override fun decode(target: StoreObject): ReadConfiguration? {
        if (target.name != StoreProtocol.CONFIGURATION_NAME) return null
        return try {
            ReadConfiguration(target.revision, ConfigurationCodec.decode(target.readableSpec()))
        } catch (unreadable: UnreadableDocumentException) {
            ReadConfiguration(target.revision, configuration = null, unreadable = unreadable.message)
        }
    }

    override fun onListed(
        listing: StoreListing<ReadConfiguration>,
        reliability: ListReliability,
    ) {
        era = listing.era
        order.enterEra(era)
        listing.objects.firstOrNull()?.let(::apply)
    }

    override fun onChanged(
        change: KindChange<ReadConfiguration>,
        afterOutage: Boolean,
    ) {
        if (change.name != StoreProtocol.CONFIGURATION_NAME) return
        if (change.isDeleted) {
            log.stateChange("configuration deleted, last version kept in force", mapOf("version" to current?.version))
        } else {
            change.content?.let(::apply)
        }
    }

    override fun onConfirmed(asOf: ClockReading) {
        if (!isReadable) return
        if (!order.confirmsCurrent(asOf.monotonicMillis)) {
            if (!hasConfirmed && startCheck == null) startCheck = scope.launch { confirmStart(asOf) }
            return
        }
        hasConfirmed = true
        freshness.confirm(asOf)
        if (freshness.isFresh()) freshnessConfirmed.complete(Unit)
    }

    /**
     * Confirms the first configuration, read at [asOf], once the other instances were asked and the store has settled.
     * The next response to a watch may arrive seconds later, and until then the instance is not ready.
     */
    private suspend fun confirmStart(asOf: ClockReading) {
        var isLogged = false
        while (!hasConfirmed) {
            delay(START_CHECK_MILLIS)
            if (order.isOutdated && !isLogged) {
                isLogged = true
                log.stateChange(
                    "store returned an older configuration than another instance had in force, waiting",
                    mapOf("shown" to order.version, "newest" to order.newestVersion, "era" to era),
                )
            }
            if (order.confirmsCurrent(asOf.monotonicMillis)) return onConfirmed(asOf)
            // After a failed read, the next response to a watch confirms the configuration.
            if (order.confirmsCurrent(freshness.now().monotonicMillis)) return readFromStore()
        }
    }

    /**
     * Returns whether the configuration is fresh. If it is not, for example because a clock step invalidated its last
     * confirmation, reads the store and waits up to [CONFIRMATION_WAIT_MILLIS] for a new confirmation.
     */
    suspend fun awaitFresh(): Boolean {
        if (freshness.isFresh()) return true
        if (refresh?.isActive != true) refresh = scope.launch { readFromStore() }
        if (freshnessConfirmed.isCompleted) freshnessConfirmed = CompletableDeferred()
        withTimeoutOrNull(CONFIRMATION_WAIT_MILLIS) { freshnessConfirmed.await() }
        return freshness.isFresh()
    }

    private suspend fun readFromStore() {
        val asOf = freshness.now()
        store.list(StoreKind.CONFIGURATION, decode = ::decode).map {
            onListed(it, ListReliability.CERTAIN)
            onConfirmed(asOf)
        }
    }

    private fun apply(read: ReadConfiguration) {
        val decoded = read.configuration
        if (decoded == null) {
            isReadable = false
            log.stateChange(
                "configuration unreadable, previous version kept in force",
                mapOf("revision" to read.revision, "detail" to read.unreadable),
            )
            return
        }
        isReadable = true
        val previous = current
        if (!order.observe(era, read.revision, decoded.version)) {
            if (previous != null && decoded.version < previous.version) {
                log.stateChange(
                    "store returned an older configuration, newer version kept in force",
                    mapOf("shown" to decoded.version, "version" to previous.version, "era" to era),
                )
            }
            return
        }
        current = decoded
        log.stateChange(
            "configuration in force",
            mapOf(
                "version" to decoded.version,
                "revision" to read.revision,
                "era" to era,
                "before" to previous?.version,
            ),
        )
    }

    private companion object {
        /** Short compared with the time for the answers of other instances. */
        const val START_CHECK_MILLIS = 10L

        /** The store responds within 4 ms, and within 300 ms when it is slow. */
        const val CONFIRMATION_WAIT_MILLIS = 350L
    }
}
