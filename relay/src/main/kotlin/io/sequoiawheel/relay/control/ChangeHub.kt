package io.sequoiawheel.relay.control

import io.netty.handler.codec.http.HttpResponseStatus
import io.sequoiawheel.core.relay.ChangeHistory
import io.sequoiawheel.core.relay.ClockReading
import io.sequoiawheel.core.relay.Freshness
import io.sequoiawheel.core.relay.HubSelection
import io.sequoiawheel.platform.EncodedEvent
import io.sequoiawheel.platform.StoreChangesEnd
import io.sequoiawheel.platform.StoreEvent
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.platform.StoreProtocol
import io.sequoiawheel.platform.WatchQuery
import io.sequoiawheel.relay.http.StatusResponse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/**
 * The changes to one kind of object that this instance read from the store, served to other instances of its zone. They
 * are kept encoded, up to a limit for each kind.
 */
internal class ChangeFeed(
    val kind: StoreKind,
) {
    private val history = ChangeHistory(historyBytes(kind), EncodedEvent::sizeBytes, EncodedEvent::name)
    private var nextUpdate = CompletableDeferred<Unit>()

    /** The era of the store that the revisions belong to. */
    var era: Long? = null
        private set

    /** Whether this instance watches the store and the store responds. */
    var isServing = false
        private set

    /** The last time at which the recorded state was confirmed to be the current one, or null. */
    var confirmedAt: ClockReading? = null
        private set

    val revision: Long get() = history.revision

    /** Memory that the recorded changes occupy, in bytes. */
    val sizeBytes: Long get() = history.sizeBytes

    /** Restarts the feed from a listing at [revision] of [era], which was the current state at [asOf]. */
    fun restart(
        revision: Long,
        asOf: ClockReading?,
        era: Long?,
    ) {
        this.era = era
        history.restart(revision)
        confirmedAt = asOf
        isServing = true
        notifyWaiters()
    }

    /**
     * Starts the feed after [revision], from which the store is now watched, unless it is serving already. The state
     * was the current one at [asOf].
     */
    fun resume(
        revision: Long,
        asOf: ClockReading?,
        era: Long?,
    ) {
        if (!isServing) restart(revision, asOf, era)
    }

    /** Returns [event] in the form in which it is passed to other instances. */
    fun encode(event: StoreEvent): EncodedEvent = StoreProtocol.encodeEvent(event, kind == StoreKind.ROLLOUTS)

    /** Appends [events], the response to a watch that started at the last recorded revision. */
    fun append(
        events: List<EncodedEvent>,
        changes: StoreChangesEnd,
        asOf: ClockReading,
    ) {
        resume(changes.revision, asOf, changes.era)
        history.append(changes.revision, events)
        confirmedAt = asOf
        notifyWaiters()
    }

    /** Stops serving and ends all waiting calls: the store does not respond, or this instance no longer watches it. */
    fun stop() {
        if (!isServing) return
        isServing = false
        confirmedAt = null
        notifyWaiters()
    }

    /** Returns whether changes after [revision] were recorded, or may be missing from the history. */
    fun hasAfter(revision: Long): Boolean = history.hasAfter(revision)

    /**
     * Returns the changes after [revision], or null if the history no longer holds them, or if they are larger than a
     * response may be.
     */
    fun after(revision: Long): List<EncodedEvent>? =
        history.after(revision)?.takeIf { events ->
            events.sumOf { it.sizeBytes } <= StoreProtocol.MAXIMUM_CHANGES_BYTES
        }

    /** Waits until the feed receives changes, is confirmed as current, or stops. */
    suspend fun awaitUpdate() = nextUpdate.await()

    private fun notifyWaiters() {
        val previous = nextUpdate
        nextUpdate = CompletableDeferred()
        previous.complete(Unit)
    }

    private companion object {
        /**
         * Other instances follow within seconds; this is several versions of a configuration of the store's maximum
         * size.
         */
        const val CONFIGURATION_HISTORY_BYTES = 4_194_304L

        /** Thousands of changes of replicas. */
        const val HISTORY_BYTES = 2_097_152L

        fun historyBytes(kind: StoreKind) =
            if (kind == StoreKind.CONFIGURATION) CONFIGURATION_HISTORY_BYTES else HISTORY_BYTES
    }
}

/**
 * Serves watch requests of other instances from the changes that this one read from the store, in the store's own
 * format. A response states when the state was last confirmed as current, as an offset in milliseconds from the receipt
 * of the request. Confined to the event loop.
 *
 * @param onFirstWatcher called when another instance begins to rely on this one
 */
internal class ChangeHub(
    private val feeds: Map<StoreKind, ChangeFeed>,
    private val selection: HubSelection,
    private val freshness: Freshness,
    private val onFirstWatcher: () -> Unit = {},
) {
    /** Handles a watch request for [uri]. */
    suspend fun handle(uri: String): StatusResponse {
        val query = StoreProtocol.parseWatch(uri) ?: return StatusResponse(HttpResponseStatus.NOT_FOUND)
        val feed = feeds[query.kind] ?: return StatusResponse(HttpResponseStatus.NOT_FOUND)
        if (!feed.isServing) return StatusResponse(HttpResponseStatus.SERVICE_UNAVAILABLE)
        val isFirst = !selection.hasWatchers
        selection.recordWatcher()
        val received = freshness.now()
        if (isFirst) onFirstWatcher()
        withTimeoutOrNull(query.waitMillis) {
            while (feed.isServing && !isResponseDue(feed, query, received)) feed.awaitUpdate()
        }
        if (!feed.isServing) return StatusResponse(HttpResponseStatus.SERVICE_UNAVAILABLE)
        val retained = feed.takeIf { it.era == query.era }?.after(query.revision)
        val events = retained ?: return StatusResponse(HttpResponseStatus.GONE)
        val body =
            StoreProtocol.encodeChanges(
                events,
                maxOf(feed.revision, query.revision),
                feed.confirmedAt?.let { freshness.offsetMillis(received, it) },
                feed.era,
            )
        return StatusResponse(HttpResponseStatus.OK, body)
    }

    private fun isResponseDue(
        feed: ChangeFeed,
        query: WatchQuery,
        received: ClockReading,
    ): Boolean {
        if (feed.era != query.era) return true
        val isConfirmedSinceRequest = feed.confirmedAt?.let { it.monotonicMillis > received.monotonicMillis } ?: false
        return feed.hasAfter(query.revision) ||
            isConfirmedSinceRequest &&
            query.kind == StoreKind.CONFIGURATION
    }
}
