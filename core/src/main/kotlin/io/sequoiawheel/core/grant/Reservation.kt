package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.WorkspaceName

/**
 * Room for one request at one replica.
 *
 * @property promptTokens tokens of the prompt; zero for plain calls
 * @property predictedTokens predicted output length in tokens, in all; zero for plain calls
 * @property producedTokens output tokens that exist already, as far as the sender knows
 */
data class Reservation(
    val request: RequestId,
    val workspace: WorkspaceName,
    val promptTokens: Long = 0,
    val predictedTokens: Long = 0,
    val producedTokens: Long = 0,
) {
    /** The room that the request takes if its prediction holds. */
    val room: Room get() = Room(promptTokens + maxOf(predictedTokens, producedTokens), 1)
}
