package io.sequoiawheel.core.model

/** A monotonic clock. Only differences between two readings have a meaning. */
fun interface Clock {
    /** Returns the current reading in milliseconds. */
    fun nowMillis(): Long
}
