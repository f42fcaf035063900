package io.sequoiawheel.core.model

/** A monotonic clock. Only differences between two readings are meaningful. */
fun interface Clock {
    /** Returns the current reading in milliseconds. */
    fun nowMillis(): Long
}
