package io.sequoiawheel.daemon.gateway

import arrow.core.Either
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.content.TextContent
import io.ktor.http.encodeURLPathPart
import io.ktor.http.isSuccess
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.serving.DispatchException
import io.sequoiawheel.core.serving.PlainAnswer
import io.sequoiawheel.core.serving.PlainGateway
import io.sequoiawheel.core.serving.PlainRequest
import kotlinx.serialization.json.Json

/** Calls plain services over HTTP. */
class HttpPlainGateway(
    private val client: BackendClient,
) : PlainGateway {
    override suspend fun call(
        replica: Instance,
        request: PlainRequest,
        deadlineMillis: Long,
    ): PlainAnswer =
        BackendClient.translatingFailures {
            val id = request.requestId.value
            val response =
                client.http.post("http://${replica.address}/calls/${request.call.encodeURLPathPart()}") {
                    header(BackendClient.REQUEST_HEADER, id)
                    header(BackendClient.DEADLINE_HEADER, deadlineMillis)
                    setBody(TextContent(request.body, ContentType.Application.Json))
                }
            if (BackendClient.NOT_RUN_HEADER in response.headers) throw BackendClient.rejection(response, id)
            val body = response.bodyAsText()
            if (response.headers[BackendClient.REQUEST_HEADER] != id) throw answerMismatch()
            if (response.status.isSuccess() && !isCompleteJson(body)) throw truncatedAnswer()
            PlainAnswer(request.requestId, response.status.value, body)
        }

    override suspend fun load(replica: Instance): Either<Failure, LoadReport> = LoadReader.read(client, replica)

    // The HTTP client treats a chunked body as complete even if its connection broke.
    private fun isCompleteJson(body: String): Boolean =
        body.isEmpty() || Either.catch { Json.parseToJsonElement(body) }.isRight()

    private fun truncatedAnswer() =
        DispatchException(DispatchException.Outcome.UNKNOWN, "the answer is not valid JSON and may be truncated")

    private fun answerMismatch() =
        DispatchException(
            DispatchException.Outcome.UNKNOWN,
            "the answer has the ID of another request",
            code = ResultCode.ANSWER_MISMATCH,
        )
}
