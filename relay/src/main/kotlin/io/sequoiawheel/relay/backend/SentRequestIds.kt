package io.sequoiawheel.relay.backend

/**
 * The ids of the requests that were last sent over a connection. Only hashes are kept: two ids with the same hash are
 * taken for the same one, which costs at most the reuse of a connection.
 */
internal class SentRequestIds {
    private var hashes = IntArray(INITIAL_CAPACITY)
    private var sent = 0

    fun add(requestId: String) {
        if (sent == hashes.size && hashes.size < MAXIMUM_CAPACITY) hashes = hashes.copyOf(hashes.size * 2)
        hashes[sent % hashes.size] = requestId.hashCode()
        sent++
        // Keeps the position in the ring and the fact that it is full.
        if (sent == 2 * MAXIMUM_CAPACITY) sent = MAXIMUM_CAPACITY
    }

    operator fun contains(requestId: String): Boolean {
        val hash = requestId.hashCode()
        return (0 until minOf(sent, hashes.size)).any { hashes[it] == hash }
    }

    private companion object {
        const val INITIAL_CAPACITY = 8

        /** A late response is about one of the last requests; the limit bounds the memory of a connection to 1 KiB. */
        const val MAXIMUM_CAPACITY = 256
    }
}
