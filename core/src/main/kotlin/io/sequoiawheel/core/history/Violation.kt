package io.sequoiawheel.core.history

/** A broken promise, with what happened in plain English. */
data class Violation(
    val promise: Promise,
    val detail: String,
) {
    override fun toString(): String = "$promise: $detail"
}
