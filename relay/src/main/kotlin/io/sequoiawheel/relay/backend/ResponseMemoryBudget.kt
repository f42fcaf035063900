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

    private companion object {
        /**
         * One eighth of the heap size in deploy/system.toml, since buffers grow by doubling and listings are decoded.
         */
        const val LIMIT_BYTES = 12_582_912
    }
}
