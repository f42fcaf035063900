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

/** One caller that sends generations, reads every token, and resumes streams at other entry instances. */
internal class GenerationCaller(
    private val plan: DemoPlan,
    private val fleet: EntryFleet,
    private val client: CallerClient,
    private val notes: DemoNotes,
    private val tally: Tally,
    private val workspace: WorkspaceName,
    private val random: Random,
) {
    /** Sends one generation and counts its final result. A refusal that says `not run` is tried again. */
    suspend fun send(kind: DemoPlan.GenerationKind) {
        var code: ResultCode? = null
        var attempts = 0
        do {
            val request = Request(RequestId("${plan.name}-g-${UUID.randomUUID()}"))
            code = if (kind.delivery == ServiceDocument.Delivery.WHOLE) whole(request, kind) else stream(request, kind)
            val isRefused = code?.work == WorkState.NOT_RUN
            if (isRefused) delay(request.retryAfterMillis.coerceIn(MINIMUM_RETRY_MILLIS, MAXIMUM_RETRY_MILLIS))
        } while (isRefused && ++attempts < ATTEMPTS)
        tally.count(code)
    }

    private suspend fun whole(
        request: Request,
        kind: DemoPlan.GenerationKind,
    ): ResultCode? {
        notes.record(HistoryEvent.CallStarted(notes.now(), request.id))
        val entry = fleet.any(random)
        val answer = client.post(generationsUrl(entry), workspace, request.id.value, body(kind))
        if (answer == null) {
            notes.record(HistoryEvent.CallLost(notes.now(), request.id))
            return null
        }
        val code = codeOf(answer)
        request.noteRetry(answer)
        if (code != ResultCode.OK) return code.also { end(request, it, null) }
        val text = answer.getValue("text").jsonPrimitive.content
        val pieces = text.split(' ').dropLast(1)
        pieces.forEachIndexed { offset, piece -> deliver(request, offset, "$piece ") }
        end(request, code, answer.getValue("tokens").jsonPrimitive.int)
        return code
    }

    private suspend fun stream(
        request: Request,
        kind: DemoPlan.GenerationKind,
    ): ResultCode? {
        notes.record(HistoryEvent.CallStarted(notes.now(), request.id))
        var entry = fleet.any(random)
        val breakAt = if (random.nextInt(RESUME_ONE_IN) == 0) random.nextInt(1, BREAK_WITHIN) else Int.MAX_VALUE
        client.postStream(generationsUrl(entry), workspace, request.id.value, body(kind)) { event ->
            take(request, entry, event) && request.next < breakAt
        }
        var resumes = 0
        while (request.code == null && request.handle != null && resumes++ < MAXIMUM_RESUMES) {
            entry = fleet.any(random, other = entry)
            tally.countResume()
            val url = "${entry.url}/v1/generations/${request.handle}"
            client.resumeStream(url, workspace, "${request.id.value}-r$resumes", request.last) { event ->
                take(request, entry, event)
            }
            if (request.refusedResume) delay(MINIMUM_RETRY_MILLIS)
        }
        // The last refusal of a resume is what the caller knows about its generation.
        if (request.code == null) request.refusal?.let { end(request, it, null) }
        if (request.code == null) notes.record(HistoryEvent.CallLost(notes.now(), request.id))
        return request.code
    }

    /** Takes one event of a stream; returns whether to read on. */
    private fun take(
        request: Request,
        entry: EntryFleet.Entry,
        event: CallerClient.Event,
    ): Boolean {
        when (event.name) {
            "accepted" -> {
                request.handle =
                    event.data
                        .getValue("resumeHandle")
                        .jsonPrimitive.content
                notes.record(HistoryEvent.CallAccepted(notes.now(), request.id, entry.id))
            }

            "token" ->
                deliver(
                    request,
                    checkNotNull(event.id) { "a token without offset" },
                    event.data
                        .getValue("text")
                        .jsonPrimitive.content,
                )

            "done" ->
                end(
                    request,
                    codeOf(event.data),
                    event.data
                        .getValue("tokens")
                        .jsonPrimitive.int,
                )
            "error" -> return takeError(request, event.data)
        }
        return request.code == null
    }

    private fun takeError(
        request: Request,
        data: JsonObject,
    ): Boolean {
        val code = codeOf(data)
        request.noteRetry(data)
        // Refusals of a resume, such as by an instance that is leaving, do not end the generation itself.
        request.refusedResume = request.handle != null && code.work == WorkState.NOT_RUN
        if (request.refusedResume) request.refusal = code
        if (!request.refusedResume) end(request, code, null)
        return false
    }

    private fun deliver(
        request: Request,
        offset: Int,
        text: String,
    ) {
        notes.record(HistoryEvent.TokenDelivered(notes.now(), request.id, runOf(text), offset, text))
        request.last = offset
        request.next = offset + 1
    }

    private fun end(
        request: Request,
        code: ResultCode,
        tokens: Int?,
    ) {
        request.code = code
        notes.record(HistoryEvent.CallEnded(notes.now(), request.id, code, tokens = tokens))
    }

    private fun generationsUrl(entry: EntryFleet.Entry) =
        "${entry.url}/v1/services/${plan.engineDocument.service}/generations"

    private fun body(kind: DemoPlan.GenerationKind) =
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
        var handle: String? = null
        var last: Int? = null
        var next = 0
        var code: ResultCode? = null
        var refusedResume = false
        var refusal: ResultCode? = null
        var retryAfterMillis = 0L

        fun noteRetry(body: JsonObject) {
            retryAfterMillis = body["retryAfterMillis"]?.jsonPrimitive?.longOrNull ?: 0
        }
    }

    companion object {
        private const val ATTEMPTS = 5
        private const val MAXIMUM_RESUMES = 20
        private const val RESUME_ONE_IN = 3
        private const val BREAK_WITHIN = 60
        private const val PROMPT_REPEATS = 8
        private const val MINIMUM_RETRY_MILLIS = 200L
        private const val MAXIMUM_RETRY_MILLIS = 2_000L

        /** Returns the result code in a JSON body of an entry instance. */
        fun codeOf(body: JsonObject): ResultCode {
            val number = body.getValue("code").jsonPrimitive.int
            return checkNotNull(ResultCode.of(number)) { "unknown result code $number" }
        }

        /** Returns what names the generation in the text of a stand-in engine's token. */
        fun runOf(text: String): String = text.substringBefore('.')
    }
}
