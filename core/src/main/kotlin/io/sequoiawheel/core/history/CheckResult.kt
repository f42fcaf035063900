package io.sequoiawheel.core.history

/**
 * The result of checking one history.
 *
 * @property examined number of facts checked for each promise; 0 means that the history contains no evidence about it
 */
data class CheckResult(
    val violations: List<Violation>,
    val examined: Map<Promise, Int>,
)
