package io.sequoiawheel.cli.demo

import kotlinx.serialization.Serializable

/**
 * The last line of the demo's output.
 *
 * @property requests callers' requests, each with its final result only
 * @property completed requests with a complete answer
 * @property refusedNotRun requests that were finally refused and did not run
 * @property unknown requests of which the system cannot say whether they ran
 * @property interrupted generations that were told how many tokens they have and that no more come
 * @property lost requests that never got a final answer
 * @property duplicatedRuns runs of a non-idempotent call beyond its first
 * @property tokenOrderViolations tokens that came twice, out of order, or not as the engine generated them
 * @property resumed streams that were continued at another entry instance
 * @property sentTwice non-idempotent calls that were sent to two entry instances with one key
 * @property violations broken promises P1 to P9 in plain English
 */
@Serializable
data class DemoResult(
    val requests: Int,
    val completed: Int,
    val refusedNotRun: Int,
    val unknown: Int,
    val interrupted: Int,
    val lost: Int,
    val duplicatedRuns: Int,
    val tokenOrderViolations: Int,
    val resumed: Int,
    val sentTwice: Int,
    val violations: List<String>,
)
