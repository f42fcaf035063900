package io.sequoiawheel.relay.backend

/** Limits the memory of buffered responses over all connections. Confined to the event loop. */
internal class ResponseMemoryBudget(
    private val limitBytes: Int = LIMIT_BYTES,
) {
    private var reserved = 0

    /** Reserves [bytes], or throws [InvalidResponseException] if that would exceed the limit. */
    fun reserve(bytes: Int) {
        if (reserved + bytes > limitBytes) throw InvalidResponseException("buffered responses exceed $limitBytes bytes")
        reserved += bytes
    }

    /** Releases [bytes] that were reserved. */
    fun release(bytes: Int) {
        reserved -= bytes
    }

    companion object {
        /**
         * Bytes of each response that are not counted, so that large responses of some backend servers do not fail the
         * small ones of others.
         */
        const val UNCOUNTED_BYTES = 65_536

        /**
         * One eighth of the heap size in deploy/system.toml, since buffers grow by doubling and listings are decoded.
         */
        private const val LIMIT_BYTES = 12_582_912
    }
}

/**
 * The memory that the buffered responses to one request occupy, until [release]. A response occupies it until its
 * caller has read it.
 */
internal class ResponseReservation {
    private var budget: ResponseMemoryBudget? = null
    private var reservedBytes = 0

    /**
     * Reserves the memory for a body that grew from [previousBytes] to [bytes], or throws [InvalidResponseException] if
     * [budget] is exhausted.
     */
    fun grow(
        budget: ResponseMemoryBudget,
        previousBytes: Int,
        bytes: Int,
    ) {
        val uncounted = ResponseMemoryBudget.UNCOUNTED_BYTES
        val added = maxOf(bytes - uncounted, 0) - maxOf(previousBytes - uncounted, 0)
        if (added == 0) return
        budget.reserve(added)
        this.budget = budget
        reservedBytes += added
    }

    /** Releases everything that was reserved. */
    fun release() {
        budget?.release(reservedBytes)
        reservedBytes = 0
    }
}
