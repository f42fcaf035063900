package io.sequoiawheel.core.history.internal

import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.WorkState

/** P4, P5 and P6: answers and what ran. */
internal class AnswerCheck(
    private val events: List<HistoryEvent>,
    private val verdicts: Verdicts,
) {
    private val keys =
        events
            .filterIsInstance<HistoryEvent.CallStarted>()
            .mapNotNull { started -> started.key?.let { started.request to it } }
            .toMap()
    private val runs = events.filterIsInstance<HistoryEvent.RunStarted>().groupBy { it.request }
    private val answers = HashMap<RequestId, MutableSet<String>>()
    private val answersByKey = HashMap<String, MutableSet<String>>()

    fun run() {
        events.filterIsInstance<HistoryEvent.RunEnded>().forEach(::collect)
        events.filterIsInstance<HistoryEvent.CallEnded>().forEach(::check)
        checkAtMostOnce()
    }

    private fun collect(event: HistoryEvent.RunEnded) {
        val answer = event.answer ?: return
        answers.getOrPut(event.request) { mutableSetOf() } += answer
        keys[event.request]?.let { answersByKey.getOrPut(it) { mutableSetOf() } += answer }
    }

    private fun check(event: HistoryEvent.CallEnded) {
        if (event.code.work == WorkState.NOT_RUN) {
            val run = runs[event.request]?.first()
            verdicts.decide(Promise.P5, run == null) {
                "request ${event.request} was told ${event.code.name}, not run, but ran at ${run?.replica}"
            }
        }
        val answer = event.answer ?: return
        val own =
            if (event.code == ResultCode.OK_RECORDED) {
                answersByKey[keys[event.request]].orEmpty()
            } else {
                answers[event.request].orEmpty()
            }
        verdicts.decide(Promise.P4, answer in own) {
            "request ${event.request} received an answer that its own run did not give: $answer"
        }
    }

    private fun checkAtMostOnce() {
        val runsByKey = runs.values.flatten().groupBy { keys[it.request] } - null
        keys.values.distinct().forEach { key ->
            val started = runsByKey[key].orEmpty()
            verdicts.decide(Promise.P6, started.size <= 1) {
                "the call with key $key ran ${started.size} times: " +
                    started.joinToString { "at ${it.replica} for ${it.request} at ${it.atMillis} ms" }
            }
        }
    }
}
