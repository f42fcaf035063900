package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.WorkspaceName

/**
 * Capacity reserved for one request at one replica.
 *
 * @property promptTokens tokens of the prompt; zero for plain calls
 * @property predictedTokens predicted total output length in tokens; zero for plain calls
 * @property producedTokens output tokens produced so far, as known to the sender
 */
data class Reservation(
    val request: RequestId,
    val workspace: WorkspaceName,
    val promptTokens: Long = 0,
    val predictedTokens: Long = 0,
    val producedTokens: Long = 0,
) {
    /** The capacity that the request uses if the predicted length is correct. */
    val capacity: Capacity get() = Capacity(promptTokens + maxOf(predictedTokens, producedTokens), 1)
}
