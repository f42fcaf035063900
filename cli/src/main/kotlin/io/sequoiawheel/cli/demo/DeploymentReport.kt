package io.sequoiawheel.cli.demo

import io.sequoiawheel.core.history.CheckResult
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.history.Violation

/** What the demo observed at one deployment. */
internal class DeploymentReport(
    val name: String,
    val tally: Tally,
    private val checked: CheckResult,
    private val seen: List<Violation>,
    val duplicatedRuns: Int,
    private val watched: Map<Promise, Int>,
) {
    /** Every broken promise, from the history and from direct observation. */
    val violations: List<Violation> get() = checked.violations + seen

    /** Returns on how many occasions [promise] was checked or could have been seen broken. */
    fun occasions(promise: Promise): Int = maxOf(checked.examined[promise] ?: 0, watched[promise] ?: 0)

    /** Tokens that came twice, out of order or from another generation. */
    val tokenOrderViolations: Int get() = violations.count { it.promise == Promise.P1 }
}
