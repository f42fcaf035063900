/*
 * Chooses the replica that is asked first for capacity. The random part of the score prevents many entry instances with
 * the same stale view from all choosing the replica that appears least loaded.
 */
package io.sequoiawheel.core.routing

import io.sequoiawheel.core.model.InstanceId
import org.apache.commons.rng.UniformRandomProvider

/**
 * Chooses among replicas. Stateless; as thread-safe as [random].
 *
 * @param prefersLocalZone whether another zone is used only when the local one has no capacity
 */
class ReplicaChooser(
    private val random: UniformRandomProvider,
    private val prefersLocalZone: Boolean = true,
) {
    /**
     * Returns the replica to ask, or null if no replica is eligible. Replicas with capacity for [requirements] are
     * preferred: first those of the local zone, then those of other zones. If none has capacity, the result is still an
     * eligible replica, whose granting instance may queue the request.
     *
     * @param cachedTokens returns the number of prompt tokens that are probably in the prefix cache of the replica
     */
    fun choose(
        views: Collection<ReplicaView>,
        requirements: ReplicaRequirements,
        cachedTokens: (InstanceId) -> Long = { 0 },
    ): ReplicaView? {
        val eligible = views.filter { it.eligible && it.replica !in requirements.excluded }
        val fitting = eligible.filter { it.fits(requirements) }
        val candidates = preferLocal(fitting, requirements).ifEmpty { preferLocal(eligible, requirements) }
        return best(candidates, requirements, cachedTokens)
    }

    private fun preferLocal(
        views: List<ReplicaView>,
        requirements: ReplicaRequirements,
    ): List<ReplicaView> {
        if (!prefersLocalZone) return views
        return views.filter { it.zone == requirements.zone }.ifEmpty { views }
    }

    private fun best(
        candidates: List<ReplicaView>,
        requirements: ReplicaRequirements,
        cachedTokens: (InstanceId) -> Long,
    ): ReplicaView? =
        candidates.maxByOrNull {
            score(it, requirements, cachedTokens(it.replica)) +
                random.nextDouble() * RANDOM_SCORE_REQUESTS
        }

    // The unit is requests: both a larger batch and fuller memory increase the step time of an engine.
    private fun score(
        view: ReplicaView,
        requirements: ReplicaRequirements,
        cached: Long,
    ): Double {
        if (view.capacityTokens == 0L) return view.freeRequests.toDouble()
        val remaining = view.freeTokens - requirements.tokens
        val savedTokens =
            cached
                .coerceIn(
                    0,
                    requirements.promptTokens,
                ).coerceAtMost(maximumSavedTokens(view, remaining))
        val memoryScore = MEMORY_WEIGHT_REQUESTS * remaining / view.capacityTokens
        return view.freeRequests + memoryScore + savedTokens / CACHED_TOKENS_PER_REQUEST
    }

    // The saving is limited by the free memory, so that a full replica never wins because of its cache.
    private fun maximumSavedTokens(
        view: ReplicaView,
        remaining: Long,
    ): Long = minOf(view.capacityTokens / PREFIX_CAPACITY_DIVISOR, remaining.coerceAtLeast(0))

    private fun ReplicaView.fits(requirements: ReplicaRequirements): Boolean =
        freeRequests > 0 && (capacityTokens == 0L || freeTokens >= requirements.tokens)

    private companion object {
        /** Weight of the whole memory of a replica, in requests of its batch. */
        const val MEMORY_WEIGHT_REQUESTS = 8.0

        /** Number of cached prompt tokens that weighs as much as one request less in the batch. */
        const val CACHED_TOKENS_PER_REQUEST = 256.0

        /** A prefix match counts for at most one sixteenth of a replica's memory. */
        const val PREFIX_CAPACITY_DIVISOR = 16

        /** Range of the random part, in requests. */
        const val RANDOM_SCORE_REQUESTS = 2.0
    }
}
