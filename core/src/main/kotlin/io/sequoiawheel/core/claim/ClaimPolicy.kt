package io.sequoiawheel.core.claim

/**
 * Bounds of the claim registry, in milliseconds unless said otherwise.
 *
 * @property claimAttempts writes of one claim before the call is rejected
 * @property firstRetryMillis wait before the second attempt; it doubles for each further one
 * @property backgroundMillis pause before a single pending release or completion is tried again
 * @property backlogMillis pause between two of several pending ones. After an outage all instances have some: 340
 *   instances with pauses of 5 s make 68 writes a second, beside 336 for claims, of several hundred
 * @property maximumPending pending releases and completions that are kept; beyond it the oldest are dropped, which
 *   leaves claims without outcome and never a second run. 500 answers of 64 KB hold 32 MB of a daemon's 128 MB
 * @property retryAfterMillis hint for callers when the object API does not answer
 */
data class ClaimPolicy(
    val claimAttempts: Int = 3,
    val firstRetryMillis: Long = 50,
    val backgroundMillis: Long = 1_000,
    val backlogMillis: Long = 5_000,
    val maximumPending: Int = 500,
    val retryAfterMillis: Long = 2_000,
)
