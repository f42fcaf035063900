package io.sequoiawheel.objectapi.internal

/**
 * A call to the platform.
 *
 * @property expectedVersion value of the `If-Match` header of a conditional write
 * @property waitMillis how long the platform may delay the response to a watch
 * @property isObjectCall whether the call goes to the object API, where status 429 means overload
 */
internal data class PlatformCall(
    val method: String,
    val url: String,
    val body: String? = null,
    val expectedVersion: Long? = null,
    val waitMillis: Long = 0,
    val isObjectCall: Boolean = true,
)
