package io.sequoiawheel.cli.demo

import kotlinx.serialization.Serializable

/**
 * The JSON object on the last line of the demo's output.
 *
 * @property requests requests of callers; retries of a request are not counted
 * @property completed requests that received a complete response
 * @property refusedNotRun requests whose final result is a rejection that says that they did not run
 * @property unknown requests that may or may not have run
 * @property interrupted generations that ended early and whose caller was told so, with the number of tokens
 * @property lost requests that received no final response
 * @property duplicatedRuns runs of non-idempotent calls beyond the first run of each
 * @property tokenOrderViolations tokens that were duplicated, out of order or different from the engine's output
 * @property resumed streams that were resumed at another entry instance
 * @property sentTwice non-idempotent calls that were sent to two entry instances with the same idempotency key
 * @property violations descriptions of violated guarantees P1 to P9
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
