package io.sequoiawheel.relay.backend

import io.sequoiawheel.core.memory.MemoryAccount

/**
 * Limits the memory of buffered responses to requests of the instance itself, such as store listings, over all
 * connections. Those for callers count towards [ResponseMemory]. Confined to the event loop.
 */
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
         * Bytes of each response that are relayed even if there is no memory left, so that large responses of some
         * backend servers do not fail the small ones of others.
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
 *
 * @param account the account of the caller, or null for requests of the instance itself
 */
internal class ResponseReservation(
    private val account: MemoryAccount? = null,
) {
    private var budget: ResponseMemoryBudget? = null
    private var reservedBytes = 0

    /**
     * Reserves the memory for a body that grew from [previousBytes] to [bytes], or throws [InvalidResponseException] if
     * the account of the caller or [budget] is exhausted.
     */
    fun grow(
        budget: ResponseMemoryBudget,
        previousBytes: Int,
        bytes: Int,
    ) {
        if (account != null) return grow(account, bytes - previousBytes, bytes)
        val uncounted = ResponseMemoryBudget.UNCOUNTED_BYTES
        val added = maxOf(bytes - uncounted, 0) - maxOf(previousBytes - uncounted, 0)
        if (added == 0) return
        budget.reserve(added)
        this.budget = budget
        reservedBytes += added
    }

    private fun grow(
        account: MemoryAccount,
        added: Int,
        bytes: Int,
    ) {
        // A body that the replica still sends is no sign of a caller that does not read.
        account.recordProgress(added / RECEIVED_PROGRESS_DIVISOR)
        if (account.tryReserve(added.toLong())) {
            reservedBytes += added
        } else if (bytes > ResponseMemoryBudget.UNCOUNTED_BYTES) {
            throw InvalidResponseException("no memory for a response of more than $reservedBytes bytes")
        }
    }

    /** Releases everything that was reserved. */
    fun release() {
        account?.release(reservedBytes.toLong())
        budget?.release(reservedBytes)
        reservedBytes = 0
    }

    private companion object {
        /** Enough for a body not to count as slow while it is received, and for about a second after that. */
        const val RECEIVED_PROGRESS_DIVISOR = 4L
    }
}
