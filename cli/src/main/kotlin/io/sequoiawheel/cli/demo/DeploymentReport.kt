package io.sequoiawheel.cli.demo

import io.sequoiawheel.core.history.CheckResult
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.history.Violation

/** The results of the demo at one deployment. */
internal class DeploymentReport(
    val name: String,
    val results: ResultCounter,
    private val checkResult: CheckResult,
    private val observedViolations: List<Violation>,
    val duplicatedRuns: Int,
    private val observedOccasions: Map<Promise, Int>,
) {
    /** All violations: those found in the history and those observed during the run. */
    val violations: List<Violation> get() = checkResult.violations + observedViolations

    /** Returns how many times [promise] was checked or a violation of it could have been observed. */
    fun occasions(promise: Promise): Int = maxOf(checkResult.examined[promise] ?: 0, observedOccasions[promise] ?: 0)

    /** Tokens that were duplicated, out of order or from another generation. */
    val tokenOrderViolations: Int get() = violations.count { it.promise == Promise.P1 }
}
