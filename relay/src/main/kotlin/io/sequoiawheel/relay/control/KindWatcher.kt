package io.sequoiawheel.relay.control

import arrow.core.Either
import arrow.core.left
import io.sequoiawheel.core.relay.Freshness
import io.sequoiawheel.core.relay.Instant
import io.sequoiawheel.core.routing.Backoff
import io.sequoiawheel.platform.StoreChanges
import io.sequoiawheel.platform.StoreEvent
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.platform.StoreObject
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
    /** All objects of the kind. [afterOutage] says that entries may be missing because the store was away. */
    fun listed(
        objects: List<StoreObject>,
        afterOutage: Boolean,
    )

    fun changed(
        event: StoreEvent,
        afterOutage: Boolean,
    )

    /** What was told so far was the newest state at [asOf] or later. */
    fun proven(asOf: Instant) = Unit
}

/**
 * Follows one kind of the store: lists it, then watches it from the listing's revision on. A watch that fails is
 * repeated from where it was; only a lost history makes it list again. Confined to the event loop.
 *
 * @param onFailure called at each failed call; a watcher with short waits finds a lost path for those with long ones
 */
internal class KindWatcher(
    private val store: StoreClient,
    private val kind: StoreKind,
    private val waitMillis: Long,
    private val listener: KindListener,
    private val freshness: Freshness,
    private val random: UniformRandomProvider,
    private val log: DecisionLog,
    private val onFailure: () -> Unit = {},
) {
    private val backoff = Backoff(FIRST_BACKOFF_MILLIS, LAST_BACKOFF_MILLIS)
    private var failures = 0
    private var outageEndedMillis: Long? = null
    private var waiting: Deferred<Either<StoreFailure, StoreChanges>>? = null

    /** Follows the kind until cancelled. */
    suspend fun run() {
        while (true) {
            val asOf = freshness.now()
            val listing = store.list(kind).fold({ failed(it).let { null } }, { it })
            if (listing == null) {
                pause()
                continue
            }
            succeeded()
            listener.listed(listing.objects, isAfterOutage())
            listener.proven(asOf)
            watchFrom(listing.revision)
        }
    }

    /** Ends a watch that waits, and starts it anew on another connection. */
    fun interrupt() {
        waiting?.cancel()
    }

    /** Watches until the history is lost. */
    private suspend fun watchFrom(start: Long) {
        var revision = start
        while (true) {
            val asOf = freshness.now()
            val changes =
                watch(revision).fold({ failure ->
                    if (failure is StoreFailure.HistoryGone) {
                        log.belief("store history lost", mapOf("kind" to kind.name, "revision" to revision))
                        return
                    }
                    failed(failure)
                    null
                }, { it })
            if (changes == null) {
                pause()
                continue
            }
            succeeded()
            changes.events.forEach { listener.changed(it, isAfterOutage()) }
            revision = changes.revision
            listener.proven(if (changes.events.isEmpty()) asOf.plus(waitMillis) else asOf)
        }
    }

    private suspend fun watch(revision: Long): Either<StoreFailure, StoreChanges> =
        coroutineScope {
            val call = async { store.watch(kind, revision, waitMillis) }
            waiting = call
            try {
                call.await()
            } catch (interrupted: CancellationException) {
                ensureActive()
                StoreFailure.Unavailable("interrupted").left()
            }
        }

    private fun Instant.plus(millis: Long): Instant {
        // Without events the store answers at the end of the wait, so nothing had changed until then.
        val now = freshness.now()
        return Instant(
            minOf(monotonicMillis + millis, now.monotonicMillis),
            minOf(wallMillis + millis, now.wallMillis),
        )
    }

    private fun failed(failure: StoreFailure) {
        onFailure()
        if (failures++ == 0) {
            log.dependency("store lost", mapOf("kind" to kind.name, "detail" to failure.detail))
        }
    }

    private fun succeeded() {
        if (failures == 0) return
        log.dependency("store regained", mapOf("kind" to kind.name, "failures" to failures))
        failures = 0
        outageEndedMillis = freshness.now().monotonicMillis
    }

    private fun isAfterOutage(): Boolean {
        val ended = outageEndedMillis ?: return false
        return freshness.now().monotonicMillis - ended <= REGISTRATION_MILLIS
    }

    private suspend fun pause() = delay(backoff.delayMillis(failures.coerceAtLeast(1), random))

    private companion object {
        /** The first retry comes at once after a cut connection; later ones spare a store that is down. */
        const val FIRST_BACKOFF_MILLIS = 60L
        const val LAST_BACKOFF_MILLIS = 700L

        /** Live replicas are back in the list about 2 s after the store's return. */
        const val REGISTRATION_MILLIS = 2_000L
    }
}
