package io.sequoiawheel.relay.backend

/**
 * The ids of the requests that were last sent over a connection or to a replica. Only hashes are kept: two ids with the
 * same hash are taken for the same one, which costs at most the reuse of a connection.
 *
 * @param maximumCapacity number of ids that are kept; a late response is about one of the last requests
 */
internal class SentRequestIds(
    private val maximumCapacity: Int,
) {
    private var hashes = IntArray(INITIAL_CAPACITY)
    private var sent = 0

    fun add(requestId: String) {
        if (sent == hashes.size && hashes.size < maximumCapacity) hashes = hashes.copyOf(hashes.size * 2)
        hashes[sent % hashes.size] = requestId.hashCode()
        sent++
        // Keeps the position in the ring and the fact that it is full.
        if (sent == 2 * maximumCapacity) sent = maximumCapacity
    }

    operator fun contains(requestId: String): Boolean {
        val hash = requestId.hashCode()
        for (index in 0 until minOf(sent, hashes.size)) if (hashes[index] == hash) return true
        return false
    }

    private companion object {
        const val INITIAL_CAPACITY = 8
    }
}
