package io.sequoiawheel.cli.demo

import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.WorkState
import io.sequoiawheel.core.model.WorkspaceName
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import java.util.UUID
import kotlin.random.Random

/** A caller of a plain service. Sends lookups, and non-idempotent calls of which it sends some twice. */
internal class PlainCaller(
    private val plan: DemoPlan,
    private val fleet: EntryFleet,
    private val client: CallerClient,
    private val recorder: DemoRecorder,
    private val results: ResultCounter,
    private val workspace: WorkspaceName,
    private val random: Random,
) {
    /** Sends one idempotent call. */
    suspend fun sendLookup() {
        results.count(
            retryNotRun {
                call(fleet.pick(random), plan.lookupCall, requestBody(UUID.randomUUID().toString()), null)
            },
        )
    }

    /** Sends a non-idempotent call; one in [REPEAT_ONE_IN] goes to two entry instances at once with the same key. */
    suspend fun sendWrite() {
        val key = UUID.randomUUID().toString()
        if (random.nextInt(REPEAT_ONE_IN) > 0) return results.count(retryNotRun { writeOnce(fleet.pick(random), key) })
        results.countDuplicateSend()
        val first = fleet.pick(random)
        val second = fleet.pick(random, excluded = first)
        coroutineScope {
            val outcomes = listOf(first, second).map { entry -> async { retryNotRun { writeOnce(entry, key) } } }
            outcomes.forEach { results.count(it.await()) }
        }
    }

    private suspend fun writeOnce(
        entry: EntryFleet.EntryInstance,
        key: String,
    ): ResultCode? = call(entry, plan.writeCall, requestBody(key), key)

    private fun requestBody(item: String) = buildJsonObject { put("item", JsonPrimitive(item)) }

    /** Retries [attempt] while its result says that the call did not run. */
    private suspend fun retryNotRun(attempt: suspend () -> ResultCode?): ResultCode? {
        var code: ResultCode? = null
        repeat(MAXIMUM_ATTEMPTS) {
            code = attempt()
            if (code?.work != WorkState.NOT_RUN) return code
            delay(RETRY_DELAY_MILLIS)
        }
        return code
    }

    private suspend fun call(
        entry: EntryFleet.EntryInstance,
        name: String,
        body: JsonObject,
        key: String?,
    ): ResultCode? {
        val request = RequestId("${plan.name}-c-${UUID.randomUUID()}")
        recorder.record(HistoryEvent.CallStarted(recorder.now(), request, key))
        val url = "${entry.url}/v1/services/${plan.plainDocument.service}/calls/$name"
        val answer = client.post(url, workspace, request.value, body, key)
        val finalAnswer = if (key != null && isPending(answer)) awaitOutcome(name, key) ?: answer else answer
        if (finalAnswer == null) {
            recorder.record(HistoryEvent.CallLost(recorder.now(), request))
            return null
        }
        val code = GenerationCaller.codeOf(finalAnswer)
        recorder.record(HistoryEvent.CallEnded(recorder.now(), request, code, finalAnswer["answer"]?.toString()))
        return code
    }

    private fun isPending(answer: JsonObject?) =
        answer == null || GenerationCaller.codeOf(answer) == ResultCode.IN_PROGRESS

    /** Polls the recorded outcome of the call with [key] until it is final. Returns null if it never is. */
    private suspend fun awaitOutcome(
        name: String,
        key: String,
    ): JsonObject? {
        repeat(OUTCOME_POLLS) {
            val url = "${fleet.pick(random).url}/v1/services/${plan.plainDocument.service}/calls/$name/outcomes/$key"
            val outcome = client.get(url, workspace, "${plan.name}-o-${UUID.randomUUID()}")
            if (outcome != null && isFinal(GenerationCaller.codeOf(outcome))) return outcome
            delay(RETRY_DELAY_MILLIS)
        }
        return null
    }

    private fun isFinal(code: ResultCode) =
        code == ResultCode.OK || code == ResultCode.OK_RECORDED || code == ResultCode.OUTCOME_UNKNOWN

    private companion object {
        const val REPEAT_ONE_IN = 3
        const val MAXIMUM_ATTEMPTS = 8
        const val RETRY_DELAY_MILLIS = 250L
        const val OUTCOME_POLLS = 30
    }
}
