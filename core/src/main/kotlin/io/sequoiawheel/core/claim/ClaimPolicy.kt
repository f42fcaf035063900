package io.sequoiawheel.core.claim

/**
 * Bounds of the claim registry, in milliseconds unless said otherwise.
 *
 * @property claimAttempts writes of one claim before the call is rejected
 * @property firstRetryMillis wait before the second attempt; it doubles for each further one
 * @property backgroundMillis pause between two passes over pending releases and completions
 * @property maximumPending pending releases and completions that are kept; beyond it the oldest are dropped, which
 *   leaves claims without outcome and never a second run. 500 answers of 64 KB hold 32 MB of a daemon's 128 MB
 * @property retryAfterMillis hint for callers when the object API does not answer
 */
data class ClaimPolicy(
    val claimAttempts: Int = 3,
    val firstRetryMillis: Long = 50,
    val backgroundMillis: Long = 1_000,
    val maximumPending: Int = 500,
    val retryAfterMillis: Long = 2_000,
)
