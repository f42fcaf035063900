package io.sequoiawheel.relay.backend

/** A connection lent for one exchange; its owner takes it back. */
internal class ConnectionLease(
    val connection: BackendConnection,
) {
    /** Whether the whole response was read, so that the connection may serve another exchange. */
    var isComplete = false
        private set

    /** Records that the whole response was read. */
    fun complete() {
        isComplete = true
    }
}
