package io.sequoiawheel.objectapi.internal

/**
 * One call to the platform.
 *
 * @property expectedVersion the `If-Match` header of a conditional write
 * @property waitMillis how long the platform may hold the answer
 * @property isObjectCall whether status 429 means that the object API is overloaded
 */
internal data class PlatformCall(
    val method: String,
    val url: String,
    val body: String? = null,
    val expectedVersion: Long? = null,
    val waitMillis: Long = 0,
    val isObjectCall: Boolean = true,
)
