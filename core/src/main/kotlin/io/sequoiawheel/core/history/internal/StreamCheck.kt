package io.sequoiawheel.core.history.internal

import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.RequestId

/** Checks P1, and P4 for complete generations. */
internal class StreamCheck(
    private val events: List<HistoryEvent>,
    private val findings: FindingCollector,
) {
    private class Stream(
        var run: String? = null,
        var nextOffset: Int = 0,
    )

    private val produced =
        events.filterIsInstance<HistoryEvent.TokenProduced>().associate { (it.run to it.offset) to it.text }
    private val streams = HashMap<RequestId, Stream>()

    fun run() {
        for (event in events) {
            when (event) {
                is HistoryEvent.TokenDelivered -> checkToken(event)
                is HistoryEvent.CallEnded -> event.tokens?.let { checkEnd(event, it) }
                else -> Unit
            }
        }
    }

    private fun checkToken(event: HistoryEvent.TokenDelivered) {
        val stream = streams.getOrPut(event.request) { Stream() }
        val run = stream.run ?: event.run.also { stream.run = it }
        findings.record(Promise.P1, event.run == run) {
            "request ${event.request} received token ${event.offset} of ${event.run} after tokens of $run"
        }
        findings.record(Promise.P1, event.offset == stream.nextOffset) {
            "request ${event.request} received token ${event.offset} but ${stream.nextOffset} was expected"
        }
        findings.record(Promise.P1, produced[event.run to event.offset] == event.text) {
            "request ${event.request} received text at ${event.offset} that ${event.run} did not produce there"
        }
        stream.nextOffset = maxOf(stream.nextOffset, event.offset + 1)
    }

    private fun checkEnd(
        event: HistoryEvent.CallEnded,
        tokens: Int,
    ) {
        val delivered = streams[event.request]?.nextOffset ?: 0
        findings.record(Promise.P4, delivered == tokens) {
            "request ${event.request} ended with ${event.code.name} and $tokens tokens, but $delivered were delivered"
        }
    }
}
