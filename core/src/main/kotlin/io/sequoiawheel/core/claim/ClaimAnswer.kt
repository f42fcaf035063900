package io.sequoiawheel.core.claim

import io.sequoiawheel.core.model.ResultCode
import kotlinx.serialization.Serializable

/**
 * The recorded outcome of a non-idempotent call.
 *
 * @property code number of the `ResultCode` that the first caller received
 * @property status HTTP status of the backend server, or 0 if it gave none
 * @property body JSON text of the answer; null if it exceeds [MAXIMUM_BODY_BYTES] or if there is none
 * @property bodyOmitted whether a body existed and was too large to record
 */
@Serializable
data class ClaimAnswer(
    val code: Int,
    val status: Int = 0,
    val body: String? = null,
    val bodyOmitted: Boolean = false,
) {
    /** Returns this answer without its body if the body is too large to record. */
    internal fun withBoundedBody(): ClaimAnswer =
        if (body != null &&
            body.toByteArray().size > MAXIMUM_BODY_BYTES
        ) {
            copy(body = null, bodyOmitted = true)
        } else {
            this
        }

    internal fun isUnknown(): Boolean = code == ResultCode.OUTCOME_UNKNOWN.number

    companion object {
        /** Largest recorded body. A claim object then stays well under the object API's limit of 1 MB. */
        const val MAXIMUM_BODY_BYTES = 65_536
    }
}
