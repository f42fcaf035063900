package io.sequoiawheel.core.history.internal

import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.WorkState

/** Checks P4, P5 and P6 by comparing answers with the recorded runs. */
internal class AnswerCheck(
    private val events: List<HistoryEvent>,
    private val findings: FindingCollector,
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
        events.filterIsInstance<HistoryEvent.RunEnded>().forEach(::collectAnswer)
        events.filterIsInstance<HistoryEvent.CallEnded>().forEach(::checkAnswer)
        checkAtMostOnce()
    }

    private fun collectAnswer(event: HistoryEvent.RunEnded) {
        val answer = event.answer ?: return
        answers.getOrPut(event.request) { mutableSetOf() } += answer
        keys[event.request]?.let { answersByKey.getOrPut(it) { mutableSetOf() } += answer }
    }

    private fun checkAnswer(event: HistoryEvent.CallEnded) {
        if (event.code.work == WorkState.NOT_RUN) {
            val run = runs[event.request]?.first()
            findings.record(Promise.P5, run == null) {
                "request ${event.request} received ${event.code.name}, which means not run, but ran at ${run?.replica}"
            }
        }
        val answer = event.answer ?: return
        val ownAnswers =
            if (event.code == ResultCode.OK_RECORDED) {
                answersByKey[keys[event.request]].orEmpty()
            } else {
                answers[event.request].orEmpty()
            }
        findings.record(Promise.P4, answer in ownAnswers) {
            "request ${event.request} received an answer that its own run did not produce: $answer"
        }
    }

    private fun checkAtMostOnce() {
        val runsByKey = runs.values.flatten().groupBy { keys[it.request] } - null
        keys.values.distinct().forEach { key ->
            val started = runsByKey[key].orEmpty()
            findings.record(Promise.P6, started.size <= 1) {
                "the call with key $key ran ${started.size} times: " +
                    started.joinToString { "at ${it.replica} for ${it.request} at ${it.atMillis} ms" }
            }
        }
    }
}
