package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/** The bytes of requests of this instance that one replica has not read yet. Confined to one thread. */
class UnreadRequests(
    private val clock: Clock,
    private val limitBytes: Long = LIMIT_BYTES,
) {
    private var progressMillis = clock.nowMillis()

    /** Bytes that wait to be sent to the replica, over all connections. */
    var bytes = 0L
        private set

    private var avoidedUntilMillis = Long.MIN_VALUE

    /**
     * Whether the replica has read nothing for [STALL_MILLIS] although requests wait, or did so when the last of them
     * was dropped, at most [AVOID_MILLIS] ago.
     */
    val isStalled: Boolean get() = isWaiting || clock.nowMillis() < avoidedUntilMillis

    private val isWaiting: Boolean get() = bytes > 0 && clock.nowMillis() - progressMillis >= STALL_MILLIS

    /** Whether so much waits that no further request may be sent to the replica. */
    val isFull: Boolean get() = bytes >= limitBytes

    /** Adds [count] bytes that wait to be sent. */
    fun begin(count: Int) {
        if (bytes == 0L) progressMillis = clock.nowMillis()
        bytes += count
    }

    /** Removes [count] bytes that were sent, or will not be sent since their connection ended. */
    fun end(
        count: Int,
        isSent: Boolean,
    ) {
        if (isSent) {
            progressMillis = clock.nowMillis()
            avoidedUntilMillis = Long.MIN_VALUE
        } else if (isWaiting) {
            avoidedUntilMillis = clock.nowMillis() + AVOID_MILLIS
        }
        bytes -= count
    }

    companion object {
        /** Four of the largest requests of the default configuration. */
        const val LIMIT_BYTES = 16_777_216L

        /** On the slowest link, 100 uploads at once still let each replica receive a piece within this time. */
        const val STALL_MILLIS = 2_000L

        /** After the request that showed it is dropped; then another one is sent to see whether the replica reads. */
        const val AVOID_MILLIS = 5_000L
    }
}
