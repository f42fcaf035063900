package io.sequoiawheel.core.model

/**
 * A failed or refused operation.
 *
 * @property detail one sentence in plain English, without secrets of other workspaces
 * @property retryAfterMillis when the caller should come back, in milliseconds, if known
 */
data class Failure(
    val code: ResultCode,
    val detail: String = code.meaning,
    val retryAfterMillis: Long? = null,
)
