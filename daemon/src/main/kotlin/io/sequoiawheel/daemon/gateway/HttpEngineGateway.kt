package io.sequoiawheel.daemon.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.request.delete
import io.ktor.client.request.prepareGet
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.HttpStatement
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.TextContent
import io.ktor.http.encodeURLPathPart
import io.ktor.http.isSuccess
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.serving.DispatchException
import io.sequoiawheel.core.serving.EngineEvent
import io.sequoiawheel.core.serving.EngineGateway
import io.sequoiawheel.core.serving.EngineRequest
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json

/** Communicates with model engines over HTTP and server-sent events. */
class HttpEngineGateway(
    private val client: BackendClient,
) : EngineGateway {
    override fun start(
        replica: Instance,
        request: EngineRequest,
    ): Flow<EngineEvent> =
        flow {
            val body = Json.encodeToString(EngineWire.Start.serializer(), EngineWire.Start.of(request))
            val statement =
                client.http.preparePost("http://${replica.address}/generations") {
                    setBody(TextContent(body, ContentType.Application.Json))
                }
            emitEvents(statement, request.generation)
        }

    override fun resume(
        replica: Instance,
        generation: RequestId,
        offset: Int,
    ): Flow<EngineEvent> =
        flow {
            emitEvents(client.http.prepareGet("${generationUrl(replica, generation)}?from=$offset"), generation)
        }

    override suspend fun cancel(
        replica: Instance,
        generation: RequestId,
    ): Either<Failure, Unit> = delete(generationUrl(replica, generation))

    override suspend fun cancelUnattended(
        replica: Instance,
        generation: RequestId,
    ): Either<Failure, Unit> = delete("${generationUrl(replica, generation)}?unattended=true")

    private suspend fun delete(url: String): Either<Failure, Unit> =
        try {
            val status =
                withTimeoutOrNull(CANCEL_TIMEOUT_MILLIS) {
                    BackendClient.translatingFailures { client.http.delete(url).status }
                }
            val hasEnded = status?.isSuccess() == true || status == HttpStatusCode.NotFound
            if (hasEnded || status == HttpStatusCode.Conflict) Unit.right() else cancellationUnconfirmed()
        } catch (error: DispatchException) {
            cancellationUnconfirmed()
        }

    override suspend fun load(replica: Instance): Either<Failure, LoadReport> = LoadReader.read(client, replica)

    private suspend fun FlowCollector<EngineEvent>.emitEvents(
        statement: HttpStatement,
        generation: RequestId,
    ) {
        var emitting = false
        BackendClient.translatingFailures({ emitting }) {
            statement.execute { response ->
                if (!response.status.isSuccess()) throw rejection(response, generation)
                val events = EngineEventReader(response.bodyAsChannel(), generation)
                while (true) {
                    val event = events.next() ?: break
                    emitting = true
                    emit(event)
                    emitting = false
                }
            }
        }
    }

    private fun rejection(
        response: HttpResponse,
        generation: RequestId,
    ): DispatchException =
        when (response.status) {
            HttpStatusCode.NotFound, HttpStatusCode.Gone ->
                DispatchException(DispatchException.Outcome.GONE, "the engine does not have the generation")

            else -> BackendClient.rejection(response, generation.value)
        }

    private fun generationUrl(
        replica: Instance,
        generation: RequestId,
    ) = "http://${replica.address}/generations/${generation.value.encodeURLPathPart()}"

    private fun cancellationUnconfirmed() =
        Failure(ResultCode.BACKEND_ERROR, "the engine did not confirm the cancellation").left()

    private companion object {
        const val CANCEL_TIMEOUT_MILLIS = 2_000L
    }
}
