package io.sequoiawheel.relay.control

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import io.sequoiawheel.core.relay.ClockReading
import io.sequoiawheel.core.relay.Freshness
import io.sequoiawheel.core.relay.HubTiming
import io.sequoiawheel.core.relay.ListReliability
import io.sequoiawheel.core.relay.Peer
import io.sequoiawheel.core.relay.StoreContact
import io.sequoiawheel.core.routing.Backoff
import io.sequoiawheel.platform.StoreChangesEnd
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.relay.internal.DecisionLog
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.commons.rng.UniformRandomProvider

/**
 * Tracks one kind of store object: lists it, then watches it from the revision of the listing, at the store or at the
 * hub of the zone. A failed watch is repeated from the last revision; only a truncated history or a new era of the
 * store causes a new listing. Changes read from the store itself are published to other instances through [feed].
 * Confined to the event loop.
 *
 * The watcher of the configuration also acts as the probe of the store: its waits are short, so it detects an
 * unreachable store, and a hub whose state is not confirmed any more, for the watchers with long waits.
 *
 * @param onFailure called after each failed call
 */
internal class KindWatcher<T : Any>(
    private val sources: ChangeSources,
    private val feed: ChangeFeed,
    private val waitMillis: Long,
    private val listener: KindListener<T>,
    private val freshness: Freshness,
    private val timing: HubTiming,
    private val contact: StoreContact,
    private val random: UniformRandomProvider,
    private val log: DecisionLog,
    private val onFailure: () -> Unit = {},
) {
    val kind = feed.kind
    private val isProbe = kind == StoreKind.CONFIGURATION
    private val backoff = Backoff(INITIAL_BACKOFF_MILLIS, MAXIMUM_BACKOFF_MILLIS)

    /** Whether the kind was listed at least once. */
    var isListed = false
        private set

    /** Whether the kind was listed and its changes arrive. */
    val isFollowed: Boolean get() = isListed && isRunning && consecutiveFailures < STORE_LOST_FAILURES

    /** Number of changes that the listener failed to apply. */
    var failedObjects = 0L
        private set

    /** Objects whose last change could not be applied. The state is not confirmed as current without them. */
    private val unappliedNames = HashSet<String>()

    private var isRunning = false
    private var consecutiveFailures = 0
    private var era: Long? = null
    private var lastConfirmedAt: ClockReading? = null
    private var hasLostHub = false
    private var pendingWatch: Deferred<Either<StoreFailure, StoreChangesEnd>>? = null
    private var pendingWaitMillis = 0L
    private var isRefreshing = false

    /**
     * Whether the state is to be confirmed at once: the last response of the store contained changes, so that it proves
     * only an earlier state as current, or another instance begins to rely on this one.
     */
    private var mustConfirm = false

    /** Lists and watches the kind until cancelled, or until an exception; it can be called again then. */
    suspend fun run() {
        isRunning = true
        try {
            listAndWatch()
        } finally {
            isRunning = false
            feed.stop()
        }
    }

    private suspend fun listAndWatch() {
        while (true) {
            val asOf = freshness.now()
            val reading = StoreReading()
            listener.onListingStarted()
            val listing =
                sources.store
                    .list(kind, reading, listener::decode)
                    .fold({ recordFailure(it).let { null } }, { it })
            if (listing == null) {
                stopFeedIfStoreLost()
                awaitRetry()
                continue
            }
            recordStoreResponse()
            listener.onListed(listing, reliabilityOf(listing.era))
            logListing(listing, reading)
            unappliedNames.clear()
            isListed = true
            era = listing.era
            listener.onConfirmed(asOf)
            lastConfirmedAt = asOf
            feed.restart(listing.revision, asOf, era)
            sources.awaitPeerDiscovery(PEER_DISCOVERY_TIMEOUT_MILLIS)
            watchFrom(listing.revision)
        }
    }

    private fun logListing(
        listing: StoreListing<T>,
        reading: StoreReading,
    ) = log.stateChange(
        "kind listed",
        mapOf(
            "kind" to kind.name,
            "kept" to listing.objects.size,
            "entries" to reading.entries,
            "nameless" to reading.nameless.takeIf { it > 0 },
            "read" to reading.toString(),
        ),
    )

    /** Cancels the pending watch, which is then repeated on another connection. */
    fun interrupt() {
        pendingWatch?.cancel()
    }

    /** Repeats the pending watch at once if its response may be delayed for longer than a hub may be unconfirmed. */
    fun refresh() {
        val running = pendingWatch?.takeIf { it.isActive && pendingWaitMillis > timing.confirmationMillis } ?: return
        isRefreshing = true
        mustConfirm = true
        running.cancel()
    }

    private fun reliabilityOf(listedEra: Long?) =
        when {
            isListed && listedEra != era -> ListReliability.NEW_ERA
            contact.isAfterOutage -> ListReliability.AFTER_OUTAGE
            else -> ListReliability.CERTAIN
        }

    /** Watches until the history after the last revision is gone, or the store was restored from an older snapshot. */
    private suspend fun watchFrom(start: Long) {
        var revision = start
        while (sources.era == era) {
            // The state known here has to be recent before it is confirmed by a hub.
            val hub = if (isProbe && mustConfirm) null else sources.currentHub()
            revision =
                if (hub == null) {
                    watchStore(revision) ?: return
                } else {
                    feed.stop()
                    watchHub(hub, revision, isJustListed = revision == start) ?: return
                }
        }
    }

    /** Sends one watch to the store. Returns the last known revision, or null if the kind has to be listed again. */
    private suspend fun watchStore(revision: Long): Long? {
        if (consecutiveFailures < STORE_LOST_FAILURES) feed.resume(revision, lastConfirmedAt, era)
        val asOf = freshness.now()
        val waitMillis = storeWaitMillis()
        pendingWaitMillis = waitMillis
        val pending = PendingChanges({ listener.decode(it.target) }, feed::encode)
        val changes =
            watch { sources.store.watch(kind, revision, waitMillis, pending::add) }
                .getOrElse { return recoverFrom(it, revision) }
        isRefreshing = false
        recordStoreResponse()
        if (changes.era != era || sources.era != era) return null
        val hasEvents = changes.entries > 0
        mustConfirm = hasEvents
        // A response without events is sent at the end of the wait, so nothing changed until then.
        val confirmedAt = if (hasEvents) asOf else asOf.plus(waitMillis)
        apply(pending.changes, confirmedAt)
        feed.append(pending.encoded, changes, confirmedAt)
        if (hasEvents) delay(CHANGE_BATCH_MILLIS)
        return changes.revision
    }

    /** Waits after a failed watch of the store. Returns [revision], or null if the kind has to be listed again. */
    private suspend fun recoverFrom(
        failure: StoreFailure,
        revision: Long,
    ): Long? {
        val isRepeated = isRefreshing
        isRefreshing = false
        return when {
            isRepeated -> revision
            // The call was interrupted because another response, or its own, stated a new era.
            sources.era != era -> null
            failure is StoreFailure.HistoryGone -> {
                log.stateChange(
                    "store history truncated",
                    mapOf("kind" to kind.name, "revision" to revision, "detail" to failure.detail),
                )
                null
            }
            else -> {
                mustConfirm = false
                recordFailure(failure)
                stopFeedIfStoreLost()
                awaitRetry()
                revision
            }
        }
    }

    private fun stopFeedIfStoreLost() {
        if (consecutiveFailures >= STORE_LOST_FAILURES) feed.stop()
    }

    /** Sends one watch to [hub]. Returns the last known revision, or null if the kind has to be listed again. */
    private suspend fun watchHub(
        hub: Peer,
        revision: Long,
        isJustListed: Boolean,
    ): Long? {
        val asOf = freshness.now()
        pendingWaitMillis = 0
        // The hub answers when it has confirmed its state, which takes less than the time that the probe waits.
        val waitMillis =
            when {
                consecutiveFailures > 0 || isProbe && hasLostHub -> 0
                isProbe -> timing.maximumAgeMillis
                else -> waitMillis
            }
        val pending = PendingChanges({ listener.decode(it.target) }, encode = { null })
        val changes =
            watch {
                withinMaximumAge { sources.watch(hub, kind, revision, waitMillis, era, pending::add) }
            }.getOrElse { failure ->
                val isHistoryGone = failure is StoreFailure.HistoryGone && !isJustListed
                if (isHistoryGone || sources.era != era) return null
                sources.reportHubFailure(hub, failure)
                onFailure()
                hasLostHub = true
                return revision
            }
        recordResponse()
        // Another call may have observed a newer era while this response was in flight.
        if (sources.era != era) return null
        val confirmedAt = changes.confirmationOffsetMillis?.let { asOf.plus(it) }
        confirmedAt?.let { contact.recordProof(it.monotonicMillis) }
        apply(pending.changes, confirmedAt)
        return changes.revision
    }

    /**
     * Calls a hub for as long as the state that is known here is recent enough to act on. It is older only if the store
     * failed too, and then a hub is the only source left. Only the probe bounds its calls, and interrupts those of the
     * other watchers when the hub fails.
     */
    private suspend fun withinMaximumAge(
        call: suspend () -> Either<StoreFailure, StoreChangesEnd>,
    ): Either<StoreFailure, StoreChangesEnd> {
        if (!isProbe) return call()
        val ageMillis = lastConfirmedAt?.let { freshness.now().monotonicMillis - it.monotonicMillis }
        val remainingMillis = timing.maximumAgeMillis - (ageMillis ?: timing.maximumAgeMillis)
        return withTimeoutOrNull(if (remainingMillis > 0) remainingMillis else timing.confirmationMillis) { call() }
            ?: StoreFailure.Unavailable("state not confirmed for ${timing.maximumAgeMillis} ms").left()
    }

    private fun apply(
        changes: List<KindChange<T>>,
        confirmedAt: ClockReading?,
    ) {
        changes.forEach(::applyChange)
        val before = lastConfirmedAt
        if (before == null || confirmedAt != null && confirmedAt.monotonicMillis > before.monotonicMillis) {
            lastConfirmedAt = confirmedAt
        }
        if (confirmedAt != null && unappliedNames.isEmpty()) listener.onConfirmed(confirmedAt)
    }

    /** Applies one change. If the listener fails, the other changes of the response still count. */
    private fun applyChange(change: KindChange<T>) {
        try {
            listener.onChanged(change, contact.isAfterOutage)
            unappliedNames -= change.name
        } catch (failure: RuntimeException) {
            unappliedNames += change.name
            failedObjects++
            log.dependency(
                "change not applied",
                mapOf("kind" to kind.name, "name" to change.name, "detail" to failure.toString()),
            )
        }
    }

    /**
     * Returns how long the store may delay the response to a watch. After a failed call the response must not wait for
     * a change, so that the end of an outage and a new era are detected at once; after the loss of a hub the probe must
     * not wait either, so that the loss does not count as an outage of the store, nor after changes, so that the state
     * that includes them is confirmed. The probe of a hub uses a shorter wait.
     */
    private fun storeWaitMillis() =
        when {
            consecutiveFailures > 0 || isProbe && (hasLostHub || mustConfirm) -> 0
            isProbe && sources.isHub -> minOf(waitMillis, timing.confirmationMillis)
            else -> waitMillis
        }

    private suspend fun watch(
        call: suspend () -> Either<StoreFailure, StoreChangesEnd>,
    ): Either<StoreFailure, StoreChangesEnd> =
        coroutineScope {
            val running = async { call() }
            pendingWatch = running
            try {
                running.await()
            } catch (interrupted: CancellationException) {
                ensureActive()
                StoreFailure.Unavailable("interrupted").left()
            }
        }

    private fun ClockReading.plus(millis: Long): ClockReading {
        val now = freshness.now()
        return ClockReading(
            minOf(monotonicMillis + millis, now.monotonicMillis),
            minOf(wallMillis + millis, now.wallMillis),
        )
    }

    private fun recordFailure(failure: StoreFailure) {
        onFailure()
        if (isProbe) sources.setStoreUnreachable(true)
        if (consecutiveFailures++ == 0) {
            log.dependency("store unavailable", mapOf("kind" to kind.name, "detail" to failure.detail))
        }
    }

    private fun recordStoreResponse() {
        contact.recordProof(freshness.now().monotonicMillis)
        recordResponse()
    }

    private fun recordResponse() {
        hasLostHub = false
        if (isProbe) sources.setStoreUnreachable(false)
        if (consecutiveFailures == 0) return
        log.dependency("store available again", mapOf("kind" to kind.name, "failures" to consecutiveFailures))
        consecutiveFailures = 0
    }

    /**
     * Waits before the next call. While the store is unreachable only the probe retries, so that a store that is down
     * receives few calls.
     */
    private suspend fun awaitRetry() {
        delay(backoff.delayMillis(consecutiveFailures.coerceAtLeast(1), random))
        if (!isProbe) sources.awaitStoreRecovery(STORE_RECOVERY_TIMEOUT_MILLIS)
    }

    private companion object {
        /** Replicas are drained and added in groups, whose changes arrive a few milliseconds apart. */
        const val CHANGE_BATCH_MILLIS = 30L

        /**
         * Consecutive failures after which the store counts as lost. A single failure is usually a watch that the store
         * closed, or a late response; the next call follows at once.
         */
        const val STORE_LOST_FAILURES = 2

        /**
         * The first retry follows a closed connection almost at once; later ones reduce the load on a store that is
         * down.
         */
        const val INITIAL_BACKOFF_MILLIS = 60L
        const val MAXIMUM_BACKOFF_MILLIS = 700L

        /**
         * Registering the instance and listing the others take a few milliseconds; after this time the instance watches
         * the store itself.
         */
        const val PEER_DISCOVERY_TIMEOUT_MILLIS = 400L

        /** Limits the wait for the probe, since the store may serve one kind of object and not another. */
        const val STORE_RECOVERY_TIMEOUT_MILLIS = 2_000L
    }
}
