package io.sequoiawheel.core.history.internal

import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode

/** P8: requests that were open when a graceful shutdown began. */
internal class ShutdownCheck(
    private val events: List<HistoryEvent>,
    private val verdicts: Verdicts,
) {
    private val open = HashMap<RequestId, InstanceId>()
    private val placed = HashMap<RequestId, InstanceId>()
    private val leaving = HashMap<InstanceId, MutableSet<RequestId>>()
    private val lostReplicas = mutableSetOf<InstanceId>()

    fun run() {
        for (event in events) {
            when (event) {
                is HistoryEvent.CallAccepted -> open[event.request] = event.entry
                is HistoryEvent.Dispatched -> placed[event.request] = event.replica
                is HistoryEvent.ReplicaLost -> lostReplicas += event.replica
                is HistoryEvent.CallEnded -> end(event.request, event.code != ResultCode.STREAM_INTERRUPTED)
                is HistoryEvent.CallLost -> end(event.request, false)
                is HistoryEvent.ShutdownStarted -> leaving[event.entry] = requestsAt(event.entry)
                is HistoryEvent.ShutdownFinished -> finish(event)
                else -> Unit
            }
        }
    }

    private fun requestsAt(entry: InstanceId) = open.filterValues { it == entry }.keys.toMutableSet()

    private fun end(
        request: RequestId,
        isComplete: Boolean,
    ) {
        val entry = open.remove(request) ?: return
        if (leaving[entry]?.remove(request) != true) return
        verdicts.decide(Promise.P8, isComplete || placed[request] in lostReplicas) {
            "request $request was interrupted while $entry shut down"
        }
    }

    private fun finish(event: HistoryEvent.ShutdownFinished) {
        val unfinished = leaving[event.entry].orEmpty().toList()
        verdicts.decide(Promise.P8, unfinished.isEmpty()) {
            "${event.entry} ended with ${unfinished.size} open requests, such as ${unfinished.first()}"
        }
        verdicts.decide(Promise.P8, event.exitCode == 0) { "${event.entry} ended with exit code ${event.exitCode}" }
    }
}
