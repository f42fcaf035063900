/*
 * Bounds repeats to the replicas of a service over all instances without talking to them. The share of the requests
 * adds up by itself; the fixed part is divided by the largest number of instances.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/**
 * Counts requests and repeats of one service in a sliding window. Not thread-safe.
 *
 * @param ratio repeats allowed for each request
 * @param extra returns the repeats allowed beside the ratio, in one window, for this instance
 * @param windowMillis length of the window
 */
class RetryAllowance(
    private val clock: Clock,
    private val ratio: Double,
    private val extra: () -> Int,
    private val windowMillis: Long,
) {
    private val requests = ArrayDeque<Long>()
    private val repeats = ArrayDeque<Long>()

    /** Records the first sending of a request. */
    fun request() {
        requests.addLast(clock.nowMillis())
        expire()
    }

    /** Takes one repeat, or returns false if the window has had its share. */
    fun tryRepeat(): Boolean {
        expire()
        val allowed = repeats.size + 1 <= requests.size * ratio * SAFETY_SHARE + extra()
        if (allowed) repeats.addLast(clock.nowMillis())
        return allowed
    }

    private fun expire() {
        val oldest = clock.nowMillis() - windowMillis
        while (requests.isNotEmpty() && requests.first() < oldest) requests.removeFirst()
        while (repeats.isNotEmpty() && repeats.first() < oldest) repeats.removeFirst()
    }

    private companion object {
        /** Requests and their repeats may fall into different windows of the observer. */
        const val SAFETY_SHARE = 0.8
    }
}
