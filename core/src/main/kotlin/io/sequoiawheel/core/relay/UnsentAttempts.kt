package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/**
 * The attempts of one request that could not connect to their replica. They cost the replicas nothing, and while the
 * store is down several replicas may have ended without being removed, so that more of them are tried than after a
 * refusal. Attempts that fail slowly are not: they would use up the caller's time.
 */
class UnsentAttempts(
    private val clock: Clock,
) {
    private val startedMillis = clock.nowMillis()
    private var count = 0

    /** Records an attempt without a connection, and returns whether another replica is tried. */
    fun mayRetry(): Boolean {
        count++
        val isFast = clock.nowMillis() - startedMillis <= FAST_MILLIS
        return count <= if (isFast) FAST_RETRIES else RETRIES
    }

    private companion object {
        /** A connection to a port without a listener is refused within a round trip. */
        const val FAST_MILLIS = 250L
        const val FAST_RETRIES = 8
        const val RETRIES = 2
    }
}
