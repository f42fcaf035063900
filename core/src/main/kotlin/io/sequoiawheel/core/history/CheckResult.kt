package io.sequoiawheel.core.history

/**
 * The outcome of checking one history.
 *
 * @property examined how many facts were decided for each promise; 0 means that the history says nothing about it
 */
data class CheckResult(
    val violations: List<Violation>,
    val examined: Map<Promise, Int>,
)
