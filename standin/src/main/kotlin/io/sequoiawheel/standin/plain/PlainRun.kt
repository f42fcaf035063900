package io.sequoiawheel.standin.plain

import io.sequoiawheel.core.model.RequestId
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject

/**
 * One run of a call at a plain service.
 *
 * @property body the JSON text that the caller sent
 * @property durationMillis how long the run takes
 */
data class PlainRun(
    val number: Long,
    val requestId: RequestId,
    val call: String,
    val body: String,
    val durationMillis: Long,
    internal val fault: AnswerFault?,
    internal val lateMillis: Long,
) {
    /** The JSON text that answers the call; it names the request and contains what was received. */
    val answer: String
        get() =
            buildJsonObject {
                put("call", JsonPrimitive(call))
                put("requestId", JsonPrimitive(requestId.value))
                put("received", JsonPrimitive(body))
            }.toString()
}
