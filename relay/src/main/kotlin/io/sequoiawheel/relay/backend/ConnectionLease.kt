package io.sequoiawheel.relay.backend

/** A connection borrowed from the pool for one exchange. */
internal class ConnectionLease(
    val connection: BackendConnection,
) {
    /** Whether the whole response was read, so that the connection can be reused. */
    var isComplete = false
        private set

    /** Records that the whole response was read. */
    fun complete() {
        isComplete = true
    }
}
