/*
 * Limits retries to the replicas of a service across all instances without coordination. The part proportional to the
 * requests adds up across instances; the fixed part is divided by an upper estimate of the number of instances.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/**
 * Counts requests and retries of one service in a sliding window. Not thread-safe.
 *
 * @param ratio retries allowed per request
 * @param extra returns the additional retries allowed to this instance in one window
 * @param windowMillis length of the window
 */
class SlidingWindowRetryBudget(
    private val clock: Clock,
    private val ratio: Double,
    private val extra: () -> Int,
    private val windowMillis: Long,
) {
    private val requests = ArrayDeque<Long>()
    private val retries = ArrayDeque<Long>()

    /** Records the first attempt of a request. */
    fun recordRequest() {
        requests.addLast(clock.nowMillis())
        expire()
    }

    /** Consumes one retry, or returns false if the budget of the window is exhausted. */
    fun tryRetry(): Boolean {
        expire()
        val allowed = retries.size + 1 <= requests.size * ratio * SAFETY_SHARE + extra()
        if (allowed) retries.addLast(clock.nowMillis())
        return allowed
    }

    private fun expire() {
        val oldest = clock.nowMillis() - windowMillis
        while (requests.isNotEmpty() && requests.first() < oldest) requests.removeFirst()
        while (retries.isNotEmpty() && retries.first() < oldest) retries.removeFirst()
    }

    companion object {
        /**
         * Returns the part of [total] extra retries to the service [key] that this instance may use. If there are fewer
         * retries than instances, some instances hold one each. An instance that has just started and does not know the
         * others yet may use one, since callers that it cannot serve would retry at the others.
         */
        fun extraShare(
            key: String,
            total: Int,
            fleet: FleetMembership,
        ): Int {
            if (!fleet.isKnown) return 1
            val equalShare = total / fleet.instanceCount.coerceAtLeast(MINIMUM_ASSUMED_INSTANCES)
            return if (equalShare > 0) equalShare else RateShare.of(key, 0.0, total.toDouble(), fleet).burst.toInt()
        }

        /** Number of instances to assume at least, since more may exist than are known at startup. */
        private const val MINIMUM_ASSUMED_INSTANCES = 8

        /** Safety margin, since a request and its retry may fall into different windows where they are counted. */
        private const val SAFETY_SHARE = 0.8
    }
}
