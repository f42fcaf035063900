/*
 * Chooses the replica that is asked first for room. Two random candidates keep many entry instances with the same
 * lagging view from all choosing the replica that looks emptiest.
 */
package io.sequoiawheel.core.routing

import io.sequoiawheel.core.model.InstanceId
import org.apache.commons.rng.UniformRandomProvider

/** Chooses among replicas. Holds no state of its own and is as thread-safe as [random]. */
class ReplicaChooser(
    private val random: UniformRandomProvider,
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
    ): List<ReplicaView> = views.filter { it.zone == need.zone }.ifEmpty { views }

    private fun best(
        pool: List<ReplicaView>,
        need: Need,
        cachedTokens: (InstanceId) -> Long,
    ): ReplicaView? {
        if (pool.isEmpty()) return null
        val first = random.nextInt(pool.size)
        val second = if (pool.size == 1) first else (first + 1 + random.nextInt(pool.size - 1)) % pool.size
        val cached = pool.maxBy { cachedTokens(it.replica) }
        return listOf(pool[first], pool[second], cached).maxBy { score(it, need, cachedTokens(it.replica)) }
    }

    private fun score(
        view: ReplicaView,
        need: Need,
        cached: Long,
    ): Double {
        if (view.capacityTokens == 0L) return view.freeRequests.toDouble()
        val remaining = view.freeTokens - need.tokens
        val saving = cached.coerceIn(0, need.promptTokens)
        return remaining + saving.coerceAtMost(prefixBound(view, remaining)).toDouble()
    }

    // The saving shrinks with the free memory: a full replica never wins by its cache.
    private fun prefixBound(
        view: ReplicaView,
        remaining: Long,
    ): Long = minOf(view.capacityTokens / PREFIX_CAPACITY_DIVISOR, remaining.coerceAtLeast(0))

    private fun ReplicaView.fits(need: Need): Boolean =
        freeRequests > 0 && (capacityTokens == 0L || freeTokens >= need.tokens)

    private companion object {
        /** A prefix match is worth at most this fraction (one part in eight) of a replica's memory. */
        const val PREFIX_CAPACITY_DIVISOR = 8
    }
}
