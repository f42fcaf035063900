package io.sequoiawheel.daemon.http

import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ServiceDocument
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** JSON request and response bodies of the caller API, which docs/callers.md specifies. */
internal object WireBodies {
    /** Rejects unknown fields, so that a misspelt limit in a request is reported instead of ignored. */
    val json =
        Json {
            encodeDefaults = true
            explicitNulls = false
        }

    @Serializable
    data class GenerationBody(
        val model: String,
        val prompt: String,
        val maxTokens: Int,
        val kind: String = "default",
        val adapter: String? = null,
        val delivery: ServiceDocument.Delivery? = null,
    )

    @Serializable
    data class Accepted(
        val requestId: String,
        val resumeHandle: String,
    )

    @Serializable
    data class Done(
        val code: Int,
        val tokens: Int,
    )

    @Serializable
    data class WholeAnswer(
        val code: Int,
        val requestId: String,
        val tokens: Int,
        val text: String,
    )

    @Serializable
    data class CallAnswer(
        val code: Int,
        val requestId: String,
        val answer: JsonElement,
        val status: Int? = null,
    )

    @Serializable
    data class ErrorBody(
        val code: Int,
        val name: String,
        val work: String,
        val detail: String,
        val requestId: String,
        val tokens: Int = 0,
        val retryAfterMillis: Long? = null,
    )

    fun error(
        failure: Failure,
        requestId: RequestId,
        tokens: Int,
    ): String {
        val body =
            ErrorBody(
                code = failure.code.number,
                name = failure.code.name,
                work = failure.code.work.label,
                detail = failure.detail,
                requestId = requestId.value,
                tokens = tokens,
                retryAfterMillis = failure.retryAfterMillis,
            )
        return json.encodeToString(ErrorBody.serializer(), body)
    }
}
