package io.sequoiawheel.cli.demo

import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.WorkState
import io.sequoiawheel.core.model.WorkspaceName
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import java.util.UUID
import kotlin.random.Random

/** A caller that sends generations, reads every token, and resumes streams at other entry instances. */
internal class GenerationCaller(
    private val plan: DemoPlan,
    private val fleet: EntryFleet,
    private val client: CallerClient,
    private val recorder: DemoRecorder,
    private val results: ResultCounter,
    private val workspace: WorkspaceName,
    private val random: Random,
) {
    /** Sends one generation and counts its final result. Retries rejections that say `not run`. */
    suspend fun send(kind: DemoPlan.GenerationKind) {
        var code: ResultCode? = null
        var attempts = 0
        do {
            val request = Request(RequestId("${plan.name}-g-${UUID.randomUUID()}"))
            code = if (kind.delivery == ServiceDocument.Delivery.WHOLE) whole(request, kind) else stream(request, kind)
            val isRejected = code?.work == WorkState.NOT_RUN
            if (isRejected) delay(request.retryAfterMillis.coerceIn(MINIMUM_RETRY_MILLIS, MAXIMUM_RETRY_MILLIS))
        } while (isRejected && ++attempts < MAXIMUM_ATTEMPTS)
        results.count(code)
    }

    private suspend fun whole(
        request: Request,
        kind: DemoPlan.GenerationKind,
    ): ResultCode? {
        recorder.record(HistoryEvent.CallStarted(recorder.now(), request.id))
        val entry = fleet.pick(random)
        val answer = client.post(generationsUrl(entry), workspace, request.id.value, requestBody(kind))
        if (answer == null) {
            recorder.record(HistoryEvent.CallLost(recorder.now(), request.id))
            return null
        }
        val code = codeOf(answer)
        request.readRetryDelay(answer)
        if (code != ResultCode.OK) return code.also { recordEnd(request, it, null) }
        val text = answer.getValue("text").jsonPrimitive.content
        val tokens = text.split(' ').dropLast(1)
        tokens.forEachIndexed { offset, token -> recordToken(request, offset, "$token ") }
        recordEnd(request, code, answer.getValue("tokens").jsonPrimitive.int)
        return code
    }

    private suspend fun stream(
        request: Request,
        kind: DemoPlan.GenerationKind,
    ): ResultCode? {
        recorder.record(HistoryEvent.CallStarted(recorder.now(), request.id))
        var entry = fleet.pick(random)
        val disconnectOffset =
            if (random.nextInt(DISCONNECT_ONE_IN) == 0) random.nextInt(1, DISCONNECT_OFFSET_BOUND) else Int.MAX_VALUE
        client.postStream(generationsUrl(entry), workspace, request.id.value, requestBody(kind)) { event ->
            handleEvent(request, entry, event) && request.nextOffset < disconnectOffset
        }
        var resumes = 0
        while (request.code == null && request.resumeHandle != null && resumes++ < MAXIMUM_RESUMES) {
            entry = fleet.pick(random, excluded = entry)
            results.countResume()
            val url = "${entry.url}/v1/generations/${request.resumeHandle}"
            client.resumeStream(url, workspace, "${request.id.value}-r$resumes", request.lastOffset) { event ->
                handleEvent(request, entry, event)
            }
            if (request.isResumeRejected) delay(MINIMUM_RETRY_MILLIS)
        }
        // Without a final event, the last rejection of a resume is the caller's result.
        if (request.code == null) request.resumeRejection?.let { recordEnd(request, it, null) }
        if (request.code == null) recorder.record(HistoryEvent.CallLost(recorder.now(), request.id))
        return request.code
    }

    /** Handles one event of a stream. Returns whether to continue reading. */
    private fun handleEvent(
        request: Request,
        entry: EntryFleet.EntryInstance,
        event: CallerClient.Event,
    ): Boolean {
        when (event.name) {
            "accepted" -> {
                request.resumeHandle =
                    event.data
                        .getValue("resumeHandle")
                        .jsonPrimitive.content
                recorder.record(HistoryEvent.CallAccepted(recorder.now(), request.id, entry.id))
            }

            "token" ->
                recordToken(
                    request,
                    checkNotNull(event.id) { "token event without an offset" },
                    event.data
                        .getValue("text")
                        .jsonPrimitive.content,
                )

            "done" ->
                recordEnd(
                    request,
                    codeOf(event.data),
                    event.data
                        .getValue("tokens")
                        .jsonPrimitive.int,
                )
            "error" -> return handleError(request, event.data)
        }
        return request.code == null
    }

    private fun handleError(
        request: Request,
        data: JsonObject,
    ): Boolean {
        val code = codeOf(data)
        request.readRetryDelay(data)
        // A rejected resume, for example by an instance that is shutting down, does not end the generation itself.
        request.isResumeRejected = request.resumeHandle != null && code.work == WorkState.NOT_RUN
        if (request.isResumeRejected) request.resumeRejection = code
        if (!request.isResumeRejected) recordEnd(request, code, null)
        return false
    }

    private fun recordToken(
        request: Request,
        offset: Int,
        text: String,
    ) {
        recorder.record(HistoryEvent.TokenDelivered(recorder.now(), request.id, runId(text), offset, text))
        request.lastOffset = offset
        request.nextOffset = offset + 1
    }

    private fun recordEnd(
        request: Request,
        code: ResultCode,
        tokens: Int?,
    ) {
        request.code = code
        recorder.record(HistoryEvent.CallEnded(recorder.now(), request.id, code, tokens = tokens))
    }

    private fun generationsUrl(entry: EntryFleet.EntryInstance) =
        "${entry.url}/v1/services/${plan.engineDocument.service}/generations"

    private fun requestBody(kind: DemoPlan.GenerationKind) =
        buildJsonObject {
            put(
                "model",
                JsonPrimitive(
                    plan.engineDocument.models
                        .first()
                        .name,
                ),
            )
            put("prompt", JsonPrimitive("#${kind.name} ${"write about the hanging basket ".repeat(PROMPT_REPEATS)}"))
            put("maxTokens", JsonPrimitive(kind.maximumTokens))
            put("kind", JsonPrimitive(kind.name))
            put("delivery", JsonPrimitive(kind.delivery.name.lowercase()))
        }

    private class Request(
        val id: RequestId,
    ) {
        var resumeHandle: String? = null
        var lastOffset: Int? = null
        var nextOffset = 0
        var code: ResultCode? = null
        var isResumeRejected = false
        var resumeRejection: ResultCode? = null
        var retryAfterMillis = 0L

        fun readRetryDelay(response: JsonObject) {
            retryAfterMillis = response["retryAfterMillis"]?.jsonPrimitive?.longOrNull ?: 0
        }
    }

    companion object {
        private const val MAXIMUM_ATTEMPTS = 5
        private const val MAXIMUM_RESUMES = 20
        private const val DISCONNECT_ONE_IN = 3
        private const val DISCONNECT_OFFSET_BOUND = 60
        private const val PROMPT_REPEATS = 8
        private const val MINIMUM_RETRY_MILLIS = 200L
        private const val MAXIMUM_RETRY_MILLIS = 2_000L

        /** Returns the result code in a JSON body of an entry instance. */
        fun codeOf(response: JsonObject): ResultCode {
            val number = response.getValue("code").jsonPrimitive.int
            return checkNotNull(ResultCode.of(number)) { "unknown result code $number" }
        }

        /** Returns the id of the run, with which the text of a stand-in engine's token begins. */
        fun runId(text: String): String = text.substringBefore('.')
    }
}
