package io.sequoiawheel.standin.plain

import io.sequoiawheel.core.model.RequestId
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject

/**
 * One execution of a call at a plain service.
 *
 * @property body the JSON text that the client sent
 * @property durationMillis duration of the run
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
    /** The JSON answer to the call, which contains the request id and the received body. */
    val answer: String
        get() =
            buildJsonObject {
                put("call", JsonPrimitive(call))
                put("requestId", JsonPrimitive(requestId.value))
                put("received", JsonPrimitive(body))
            }.toString()
}
