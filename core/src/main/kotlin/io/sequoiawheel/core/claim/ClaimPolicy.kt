package io.sequoiawheel.core.claim

/**
 * Limits and retry delays of the claim registry; times are in milliseconds.
 *
 * @property claimAttempts maximum number of attempts to write a claim before the call is rejected
 * @property initialRetryDelayMillis delay before the second attempt; it doubles for each further attempt
 * @property pendingWriteDelayMillis delay before a single pending release or completion is retried
 * @property backlogDelayMillis delay between retries when several writes are pending. After an outage every instance
 *   has a backlog: with a delay of 5 s, 340 instances make 68 writes per second in addition to 336 for new claims, and
 *   the object API accepts several hundred
 * @property maximumPendingWrites maximum number of pending releases and completions; beyond it the oldest are dropped,
 *   which leaves claims without an outcome but never permits a second run. 500 answers of 64 KB take 32 MB of a
 *   daemon's 128 MB
 * @property retryAfterMillis retry hint for callers when the object API does not answer
 */
data class ClaimPolicy(
    val claimAttempts: Int = 3,
    val initialRetryDelayMillis: Long = 50,
    val pendingWriteDelayMillis: Long = 1_000,
    val backlogDelayMillis: Long = 5_000,
    val maximumPendingWrites: Int = 500,
    val retryAfterMillis: Long = 2_000,
)
