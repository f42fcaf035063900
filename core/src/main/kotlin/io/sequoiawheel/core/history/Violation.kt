package io.sequoiawheel.core.history

/** A violation of [promise]; [detail] describes what happened. */
data class Violation(
    val promise: Promise,
    val detail: String,
) {
    override fun toString(): String = "$promise: $detail"
}
