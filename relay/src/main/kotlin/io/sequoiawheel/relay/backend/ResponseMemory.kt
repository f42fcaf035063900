package io.sequoiawheel.relay.backend

/** Bounds the bytes of responses that are read whole, over all connections. Confined to the event loop. */
internal class ResponseMemory(
    private val limitBytes: Int = LIMIT_BYTES,
) {
    private var used = 0

    /** Takes [bytes], or throws [InvalidResponseException] if too much is held already. */
    fun take(bytes: Int) {
        if (used + bytes > limitBytes) throw InvalidResponseException("responses hold more than $limitBytes bytes")
        used += bytes
    }

    /** Gives back [bytes] that were taken. */
    fun free(bytes: Int) {
        used -= bytes
    }

    private companion object {
        /** An eighth of the heap in deploy/system.toml, since buffers grow by doubling and listings are decoded. */
        const val LIMIT_BYTES = 12_582_912
    }
}
