package io.sequoiawheel.core.history.internal

import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.RequestId

/** P1, and the part of P4 that concerns complete generations. */
internal class StreamCheck(
    private val events: List<HistoryEvent>,
    private val verdicts: Verdicts,
) {
    private class Stream(
        var run: String? = null,
        var next: Int = 0,
    )

    private val produced =
        events.filterIsInstance<HistoryEvent.TokenProduced>().associate { (it.run to it.offset) to it.text }
    private val streams = HashMap<RequestId, Stream>()

    fun run() {
        for (event in events) {
            when (event) {
                is HistoryEvent.TokenDelivered -> token(event)
                is HistoryEvent.CallEnded -> event.tokens?.let { end(event, it) }
                else -> Unit
            }
        }
    }

    private fun token(event: HistoryEvent.TokenDelivered) {
        val stream = streams.getOrPut(event.request) { Stream() }
        val run = stream.run ?: event.run.also { stream.run = it }
        verdicts.decide(Promise.P1, event.run == run) {
            "request ${event.request} received token ${event.offset} of ${event.run} after tokens of $run"
        }
        verdicts.decide(Promise.P1, event.offset == stream.next) {
            "request ${event.request} received token ${event.offset} where ${stream.next} was due"
        }
        verdicts.decide(Promise.P1, produced[event.run to event.offset] == event.text) {
            "request ${event.request} received text at ${event.offset} that ${event.run} did not produce there"
        }
        stream.next = maxOf(stream.next, event.offset + 1)
    }

    private fun end(
        event: HistoryEvent.CallEnded,
        tokens: Int,
    ) {
        val delivered = streams[event.request]?.next ?: 0
        verdicts.decide(Promise.P4, delivered == tokens) {
            "request ${event.request} ended with ${event.code.name} and $tokens tokens, but $delivered were delivered"
        }
    }
}
