/*
 * Chooses the replica that is asked first for room. The random part of the score keeps many entry instances with the
 * same lagging view from all choosing the replica that looks emptiest.
 */
package io.sequoiawheel.core.routing

import io.sequoiawheel.core.model.InstanceId
import org.apache.commons.rng.UniformRandomProvider

/**
 * Chooses among replicas. Holds no state of its own and is as thread-safe as [random].
 *
 * @param prefersLocalZone whether another zone is used only when the local one has no room
 */
class ReplicaChooser(
    private val random: UniformRandomProvider,
    private val prefersLocalZone: Boolean = true,
) {
    /**
     * Returns the replica to ask, or null if no replica is eligible. Replicas with room for [need] go first: those of
     * the local zone, then those of other zones. Without room anywhere the result is still an eligible replica, whose
     * granting instance may queue the request.
     *
     * @param cachedTokens returns how many prompt tokens the replica probably holds in its prefix cache
     */
    fun choose(
        views: Collection<ReplicaView>,
        need: Need,
        cachedTokens: (InstanceId) -> Long = { 0 },
    ): ReplicaView? {
        val eligible = views.filter { it.eligible && it.replica !in need.excluded }
        val fitting = eligible.filter { it.fits(need) }
        val pool = preferLocal(fitting, need).ifEmpty { preferLocal(eligible, need) }
        return best(pool, need, cachedTokens)
    }

    private fun preferLocal(
        views: List<ReplicaView>,
        need: Need,
    ): List<ReplicaView> {
        if (!prefersLocalZone) return views
        return views.filter { it.zone == need.zone }.ifEmpty { views }
    }

    private fun best(
        pool: List<ReplicaView>,
        need: Need,
        cachedTokens: (InstanceId) -> Long,
    ): ReplicaView? =
        pool.maxByOrNull {
            score(it, need, cachedTokens(it.replica)) +
                random.nextDouble() * RANDOM_REQUESTS
        }

    // In requests: a fuller batch and a fuller memory both lengthen the steps of an engine.
    private fun score(
        view: ReplicaView,
        need: Need,
        cached: Long,
    ): Double {
        if (view.capacityTokens == 0L) return view.freeRequests.toDouble()
        val remaining = view.freeTokens - need.tokens
        val saving = cached.coerceIn(0, need.promptTokens).coerceAtMost(prefixBound(view, remaining))
        val memory = MEMORY_REQUESTS * remaining / view.capacityTokens
        return view.freeRequests + memory + saving / CACHED_TOKENS_PER_REQUEST
    }

    // The saving shrinks with the free memory: a full replica never wins by its cache.
    private fun prefixBound(
        view: ReplicaView,
        remaining: Long,
    ): Long = minOf(view.capacityTokens / PREFIX_CAPACITY_DIVISOR, remaining.coerceAtLeast(0))

    private fun ReplicaView.fits(need: Need): Boolean =
        freeRequests > 0 && (capacityTokens == 0L || freeTokens >= need.tokens)

    private companion object {
        /** What the whole memory of a replica weighs against requests in its batch. */
        const val MEMORY_REQUESTS = 8.0

        /** Cached prompt tokens whose saved prefill weighs as much as one request less in the batch. */
        const val CACHED_TOKENS_PER_REQUEST = 256.0

        /** A prefix match counts at most this fraction (one part in sixteen) of a replica's memory. */
        const val PREFIX_CAPACITY_DIVISOR = 16

        /** Range of the random part, in requests. */
        const val RANDOM_REQUESTS = 2.0
    }
}
