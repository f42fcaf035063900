package io.sequoiawheel.standin.store

/** Number of calls by type; [refused] calls exceeded the budget or arrived during an outage. */
data class CallCounts(
    val reads: Long = 0,
    val writes: Long = 0,
    val watches: Long = 0,
    val refused: Long = 0,
) {
    /** Total number of calls, including refused ones. */
    val total: Long get() = reads + writes + watches + refused
}
