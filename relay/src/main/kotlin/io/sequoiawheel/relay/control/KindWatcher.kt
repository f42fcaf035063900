package io.sequoiawheel.relay.control

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import io.sequoiawheel.core.relay.Freshness
import io.sequoiawheel.core.relay.Instant
import io.sequoiawheel.core.relay.ListStanding
import io.sequoiawheel.core.relay.Peer
import io.sequoiawheel.core.routing.Backoff
import io.sequoiawheel.platform.StoreChanges
import io.sequoiawheel.platform.StoreEvent
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.relay.internal.DecisionLog
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import org.apache.commons.rng.UniformRandomProvider

/** What a watcher tells the controller of a kind. */
internal interface KindListener {
    /** All objects of the kind. [standing] says whether entries may be missing or out of date. */
    fun listed(
        listing: StoreListing,
        standing: ListStanding,
    )

    fun changed(
        event: StoreEvent,
        afterOutage: Boolean,
    )

    /** What was told so far was the newest state at [asOf] or later. */
    fun proven(asOf: Instant) = Unit
}

/**
 * Follows one kind of the store: lists it, then watches it from the listing's revision on, at the store or at the
 * hub of the zone. A watch that fails is repeated from where it was; only a lost history or a new era of the store
 * makes it list again. What the store itself says is offered to other instances by [feed]. Confined to the event loop.
 *
 * @param onFailure called at each failed call; a watcher with short waits finds a lost path for those with long ones
 */
internal class KindWatcher(
    private val sources: ChangeSources,
    private val feed: ChangeFeed,
    private val waitMillis: Long,
    private val listener: KindListener,
    private val freshness: Freshness,
    private val random: UniformRandomProvider,
    private val log: DecisionLog,
    private val onFailure: () -> Unit = {},
) {
    private val kind = feed.kind
    private val isProbe = kind == StoreKind.CONFIGURATION
    private val backoff = Backoff(FIRST_BACKOFF_MILLIS, LAST_BACKOFF_MILLIS)

    /** Whether the kind was listed once. */
    var isListed = false
        private set

    private var failures = 0
    private var outageEndedMillis: Long? = null
    private var era: Long? = null
    private var lastProof: Instant? = null
    private var waiting: Deferred<Either<StoreFailure, StoreChanges>>? = null

    /** Follows the kind until cancelled. */
    suspend fun run() {
        while (true) {
            val asOf = freshness.now()
            val listing = sources.store.list(kind).fold({ failed(it).let { null } }, { it })
            if (listing == null) {
                stopLostFeed()
                pause()
                continue
            }
            succeeded()
            listener.listed(listing, standing(listing.era))
            isListed = true
            era = listing.era
            listener.proven(asOf)
            lastProof = asOf
            feed.listed(listing.revision, asOf, era)
            sources.awaitPeers(PEERS_LIMIT_MILLIS)
            watchFrom(listing.revision)
        }
    }

    /** Ends a watch that waits, and starts it anew on another connection. */
    fun interrupt() {
        waiting?.cancel()
    }

    private fun standing(listedEra: Long?) =
        when {
            isListed && listedEra != era -> ListStanding.NEW_ERA
            isAfterOutage() -> ListStanding.AFTER_OUTAGE
            else -> ListStanding.CERTAIN
        }

    /** Watches until the history is lost, or the store came back from an older copy. */
    private suspend fun watchFrom(start: Long) {
        var revision = start
        while (sources.era == era) {
            val hub = sources.hub()
            if (hub != null) {
                feed.stop()
                revision = watchHub(hub, revision, isJustListed = revision == start) ?: return
                continue
            }
            if (failures < FAILURES_OF_A_LOST_STORE) feed.resume(revision, lastProof, era)
            val asOf = freshness.now()
            val waitMillis = waitMillis(isProofNeededSoon = sources.isHub)
            val changes =
                watch { sources.store.watch(kind, revision, waitMillis) }.fold({ failure ->
                    if (failure is StoreFailure.HistoryGone) {
                        log.belief("store history lost", mapOf("kind" to kind.name, "revision" to revision))
                        return
                    }
                    failed(failure)
                    stopLostFeed()
                    null
                }, { it })
            if (changes == null) {
                pause()
                continue
            }
            succeeded()
            if (changes.era != era || sources.era != era) return
            revision = changes.revision
            // Without events the store answers at the end of the wait, so nothing had changed until then.
            val proof = if (changes.events.isEmpty()) asOf.plus(waitMillis) else asOf
            apply(changes, proof)
            feed.changed(changes, proof)
            if (changes.events.isNotEmpty()) delay(GATHER_MILLIS)
        }
    }

    private fun stopLostFeed() {
        if (failures >= FAILURES_OF_A_LOST_STORE) feed.stop()
    }

    /** Watches [hub] once, and returns the revision that is known then, or null if the kind has to be listed anew. */
    private suspend fun watchHub(
        hub: Peer,
        revision: Long,
        isJustListed: Boolean,
    ): Long? {
        val asOf = freshness.now()
        val waitMillis = waitMillis(isProofNeededSoon = true)
        val changes =
            watch { sources.watch(hub, kind, revision, waitMillis, era) }
                .getOrElse { failure ->
                    if (failure is StoreFailure.HistoryGone && !isJustListed) return null
                    sources.failed(hub, failure)
                    onFailure()
                    // The hub may have lost the store together with the replicas' entries.
                    outageEndedMillis = freshness.now().monotonicMillis
                    return revision
                }
        succeeded()
        // Another call may have met a newer era while this response was under way.
        if (sources.era != era) return null
        val proof = changes.confirmationOffsetMillis?.let { asOf.plus(it) }
        apply(changes, proof)
        val isStale = proof == null || freshness.now().monotonicMillis - proof.monotonicMillis > STALE_HUB_MILLIS
        if (isProbe && isStale) {
            sources.failed(hub, StoreFailure.Unavailable("its state is not proven"))
            onFailure()
        }
        return changes.revision
    }

    private fun apply(
        changes: StoreChanges,
        proof: Instant?,
    ) {
        changes.events.forEach { listener.changed(it, isAfterOutage()) }
        lastProof = proof ?: lastProof
        if (proof != null) listener.proven(proof)
    }

    /** Returns how long an answer may wait. Between a hub and those who rely on it, the probe's proof comes sooner. */
    private fun waitMillis(isProofNeededSoon: Boolean) =
        if (isProbe && isProofNeededSoon) minOf(waitMillis, HUB_PROOF_MILLIS) else waitMillis

    private suspend fun watch(
        call: suspend () -> Either<StoreFailure, StoreChanges>,
    ): Either<StoreFailure, StoreChanges> =
        coroutineScope {
            val running = async { call() }
            waiting = running
            try {
                running.await()
            } catch (interrupted: CancellationException) {
                ensureActive()
                StoreFailure.Unavailable("interrupted").left()
            }
        }

    private fun Instant.plus(millis: Long): Instant {
        val now = freshness.now()
        return Instant(
            minOf(monotonicMillis + millis, now.monotonicMillis),
            minOf(wallMillis + millis, now.wallMillis),
        )
    }

    private fun failed(failure: StoreFailure) {
        onFailure()
        if (isProbe) sources.pathIsLost(true)
        if (failures++ == 0) {
            log.dependency("store lost", mapOf("kind" to kind.name, "detail" to failure.detail))
        }
    }

    private fun succeeded() {
        if (isProbe) sources.pathIsLost(false)
        if (failures == 0) return
        log.dependency("store regained", mapOf("kind" to kind.name, "failures" to failures))
        failures = 0
        outageEndedMillis = freshness.now().monotonicMillis
    }

    private fun isAfterOutage(): Boolean {
        val ended = outageEndedMillis ?: return false
        return freshness.now().monotonicMillis - ended <= REGISTRATION_MILLIS
    }

    /** Waits before the next call. One kind probes a lost path for all, so that a store that is down is spared. */
    private suspend fun pause() {
        delay(backoff.delayMillis(failures.coerceAtLeast(1), random))
        if (!isProbe) sources.awaitPath(PROBE_LIMIT_MILLIS)
    }

    private companion object {
        /** Replicas are emptied and added in groups, whose changes come some milliseconds apart. */
        const val GATHER_MILLIS = 30L

        /** A single failure is a watch that the store cut, or a late response; the next call follows at once. */
        const val FAILURES_OF_A_LOST_STORE = 2

        /** How often a hub proves the configuration, and is asked for it: a silent one is found soon after. */
        const val HUB_PROOF_MILLIS = 1_000L

        /** A hub that was not asked before proves its state every 2.4 s; one that is further behind lost the store. */
        const val STALE_HUB_MILLIS = 3_000L

        /** The first retry comes at once after a cut connection; later ones spare a store that is down. */
        const val FIRST_BACKOFF_MILLIS = 60L
        const val LAST_BACKOFF_MILLIS = 700L

        /** A listing and a write take a few milliseconds; later a watch of the own is due. */
        const val PEERS_LIMIT_MILLIS = 400L

        /** The store may serve one kind and not another. */
        const val PROBE_LIMIT_MILLIS = 2_000L

        /** Live replicas are back in the list about 2 s after the store's return. */
        const val REGISTRATION_MILLIS = 2_000L
    }
}
