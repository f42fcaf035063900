package io.sequoiawheel.standin.store

/** Calls that reached the object store, and [refused] ones that exceeded the budget or met an outage. */
data class CallCounts(
    val reads: Long = 0,
    val writes: Long = 0,
    val watches: Long = 0,
    val refused: Long = 0,
) {
    /** All calls, refused ones included. */
    val total: Long get() = reads + writes + watches + refused
}
