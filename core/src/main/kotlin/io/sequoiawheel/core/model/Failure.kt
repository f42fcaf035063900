package io.sequoiawheel.core.model

/**
 * A failed or rejected operation.
 *
 * @property detail one sentence for the caller, without secrets of other workspaces
 * @property retryAfterMillis time in milliseconds after which the caller should retry, or null if unknown
 */
data class Failure(
    val code: ResultCode,
    val detail: String = code.meaning,
    val retryAfterMillis: Long? = null,
)
