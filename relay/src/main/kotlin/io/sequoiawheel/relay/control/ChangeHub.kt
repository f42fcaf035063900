package io.sequoiawheel.relay.control

import io.netty.handler.codec.http.HttpResponseStatus
import io.sequoiawheel.core.relay.ChangeHistory
import io.sequoiawheel.core.relay.ClockReading
import io.sequoiawheel.core.relay.Freshness
import io.sequoiawheel.core.relay.HubSelection
import io.sequoiawheel.platform.StoreChanges
import io.sequoiawheel.platform.StoreEvent
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.platform.StoreProtocol
import io.sequoiawheel.platform.WatchQuery
import io.sequoiawheel.relay.http.StatusAnswer
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** The changes of one kind that this instance read from the store, for other instances of its zone. */
internal class ChangeFeed(
    val kind: StoreKind,
) {
    private val history = ChangeHistory<StoreEvent>()
    private var advanced = CompletableDeferred<Unit>()

    /** The store's era that the revisions belong to. */
    var era: Long? = null
        private set

    /** Whether the store is watched and answers. */
    var isServing = false
        private set

    /** When what is known was last proven to be the newest, or null. */
    var proof: ClockReading? = null
        private set

    val revision: Long get() = history.revision

    /** Starts with a listing as of [revision] in [era], the newest state at [asOf]. */
    fun listed(
        revision: Long,
        asOf: ClockReading?,
        era: Long?,
    ) {
        this.era = era
        history.restart(revision)
        proof = asOf
        isServing = true
        wake()
    }

    /** Starts, or goes on, after [revision], from which the store is watched now; it was the newest state at [asOf]. */
    fun resume(
        revision: Long,
        asOf: ClockReading?,
        era: Long?,
    ) {
        if (!isServing) listed(revision, asOf, era)
    }

    /** Adds the response to a watch that followed the last call. */
    fun changed(
        changes: StoreChanges,
        asOf: ClockReading,
    ) {
        resume(changes.revision, asOf, changes.era)
        history.append(changes.revision, changes.events)
        proof = asOf
        wake()
    }

    /** Ends all waiting calls: the store does not answer, or is not watched any more. */
    fun stop() {
        if (!isServing) return
        isServing = false
        proof = null
        wake()
    }

    /** Returns the changes after [revision], or null if they are not kept. */
    fun after(revision: Long): List<StoreEvent>? = history.after(revision)

    /** Waits until something about the feed changes. */
    suspend fun awaitAdvance() = advanced.await()

    private fun wake() {
        val previous = advanced
        advanced = CompletableDeferred()
        previous.complete(Unit)
    }
}

/**
 * Answers the watches of other instances from what this one reads of the store, in the store's own format. A response
 * says how long after the receipt of the request, or before it, the state was proven to be the newest. Confined to the
 * event loop.
 */
internal class ChangeHub(
    private val feeds: Map<StoreKind, ChangeFeed>,
    private val selection: HubSelection,
    private val freshness: Freshness,
) {
    /** Answers the request for [uri]. */
    suspend fun answer(uri: String): StatusAnswer {
        val query = StoreProtocol.parseWatch(uri) ?: return StatusAnswer(HttpResponseStatus.NOT_FOUND)
        val feed = feeds[query.kind] ?: return StatusAnswer(HttpResponseStatus.NOT_FOUND)
        if (!feed.isServing) return StatusAnswer(HttpResponseStatus.SERVICE_UNAVAILABLE)
        selection.recordWatcher()
        val received = freshness.now()
        withTimeoutOrNull(query.waitMillis) {
            while (feed.isServing && !isDue(feed, query, received)) feed.awaitAdvance()
        }
        if (!feed.isServing) return StatusAnswer(HttpResponseStatus.SERVICE_UNAVAILABLE)
        val kept = feed.takeIf { it.era == query.era }?.after(query.revision)
        val events = kept ?: return StatusAnswer(HttpResponseStatus.GONE)
        val changes =
            StoreChanges(
                events,
                maxOf(feed.revision, query.revision),
                feed.proof?.let { freshness.offsetMillis(received, it) },
                feed.era,
            )
        return StatusAnswer(HttpResponseStatus.OK, StoreProtocol.encodeChanges(changes))
    }

    private fun isDue(
        feed: ChangeFeed,
        query: WatchQuery,
        received: ClockReading,
    ): Boolean {
        if (feed.era != query.era) return true
        val isProven = feed.proof?.let { it.monotonicMillis > received.monotonicMillis } ?: false
        return feed.after(query.revision)?.isEmpty() != true || isProven && query.kind == StoreKind.CONFIGURATION
    }
}
