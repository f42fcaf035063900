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

/** One caller of a plain service: lookups, and non-idempotent calls that it sometimes sends twice. */
internal class PlainCaller(
    private val plan: DemoPlan,
    private val fleet: EntryFleet,
    private val client: CallerClient,
    private val notes: DemoNotes,
    private val tally: Tally,
    private val workspace: WorkspaceName,
    private val random: Random,
) {
    /** Sends one idempotent call. */
    suspend fun lookUp() {
        tally.count(untilItRuns { call(fleet.any(random), plan.lookup, bodyOf(UUID.randomUUID().toString()), null) })
    }

    /** Sends one non-idempotent call; one in [REPEAT_ONE_IN] goes to two entry instances at once with the same key. */
    suspend fun write() {
        val key = UUID.randomUUID().toString()
        if (random.nextInt(REPEAT_ONE_IN) > 0) return tally.count(untilItRuns { writeOnce(fleet.any(random), key) })
        tally.countRepeat()
        val first = fleet.any(random)
        val second = fleet.any(random, other = first)
        coroutineScope {
            val outcomes = listOf(first, second).map { entry -> async { untilItRuns { writeOnce(entry, key) } } }
            outcomes.forEach { tally.count(it.await()) }
        }
    }

    private suspend fun writeOnce(
        entry: EntryFleet.Entry,
        key: String,
    ): ResultCode? = call(entry, plan.write, bodyOf(key), key)

    private fun bodyOf(item: String) = buildJsonObject { put("item", JsonPrimitive(item)) }

    /** Repeats [attempt] while it is told that nothing ran. */
    private suspend fun untilItRuns(attempt: suspend () -> ResultCode?): ResultCode? {
        var code: ResultCode? = null
        repeat(ATTEMPTS) {
            code = attempt()
            if (code?.work != WorkState.NOT_RUN) return code
            delay(RETRY_MILLIS)
        }
        return code
    }

    private suspend fun call(
        entry: EntryFleet.Entry,
        name: String,
        body: JsonObject,
        key: String?,
    ): ResultCode? {
        val request = RequestId("${plan.name}-c-${UUID.randomUUID()}")
        notes.record(HistoryEvent.CallStarted(notes.now(), request, key))
        val url = "${entry.url}/v1/services/${plan.plainDocument.service}/calls/$name"
        val answer = client.post(url, workspace, request.value, body, key)
        val final = if (key != null && isOpen(answer)) awaitOutcome(name, key) ?: answer else answer
        if (final == null) {
            notes.record(HistoryEvent.CallLost(notes.now(), request))
            return null
        }
        val code = GenerationCaller.codeOf(final)
        notes.record(HistoryEvent.CallEnded(notes.now(), request, code, final["answer"]?.toString()))
        return code
    }

    private fun isOpen(answer: JsonObject?) =
        answer == null || GenerationCaller.codeOf(answer) == ResultCode.IN_PROGRESS

    /** Asks for the recorded outcome until the first run with the key has ended; null if there is none. */
    private suspend fun awaitOutcome(
        name: String,
        key: String,
    ): JsonObject? {
        repeat(OUTCOME_POLLS) {
            val url = "${fleet.any(random).url}/v1/services/${plan.plainDocument.service}/calls/$name/outcomes/$key"
            val outcome = client.get(url, workspace, "${plan.name}-o-${UUID.randomUUID()}")
            if (outcome != null && isFinal(GenerationCaller.codeOf(outcome))) return outcome
            delay(RETRY_MILLIS)
        }
        return null
    }

    private fun isFinal(code: ResultCode) =
        code == ResultCode.OK || code == ResultCode.OK_RECORDED || code == ResultCode.OUTCOME_UNKNOWN

    private companion object {
        const val REPEAT_ONE_IN = 3
        const val ATTEMPTS = 8
        const val RETRY_MILLIS = 250L
        const val OUTCOME_POLLS = 30
    }
}
