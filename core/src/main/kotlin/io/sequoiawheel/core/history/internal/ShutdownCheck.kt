package io.sequoiawheel.core.history.internal

import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode

/** Checks P8: requests that were open when a graceful shutdown began must not be interrupted. */
internal class ShutdownCheck(
    private val events: List<HistoryEvent>,
    private val findings: FindingCollector,
) {
    private val open = HashMap<RequestId, InstanceId>()
    private val replicaByRequest = HashMap<RequestId, InstanceId>()
    private val openAtShutdown = HashMap<InstanceId, MutableSet<RequestId>>()
    private val lostReplicas = mutableSetOf<InstanceId>()

    fun run() {
        for (event in events) {
            when (event) {
                is HistoryEvent.CallAccepted -> open[event.request] = event.entry
                is HistoryEvent.Dispatched -> replicaByRequest[event.request] = event.replica
                is HistoryEvent.ReplicaLost -> lostReplicas += event.replica
                is HistoryEvent.CallEnded -> checkEnded(event.request, event.code != ResultCode.STREAM_INTERRUPTED)
                is HistoryEvent.CallLost -> checkEnded(event.request, false)
                is HistoryEvent.ShutdownStarted -> openAtShutdown[event.entry] = requestsAt(event.entry)
                is HistoryEvent.ShutdownFinished -> checkFinished(event)
                else -> Unit
            }
        }
    }

    private fun requestsAt(entry: InstanceId) = open.filterValues { it == entry }.keys.toMutableSet()

    private fun checkEnded(
        request: RequestId,
        isComplete: Boolean,
    ) {
        val entry = open.remove(request) ?: return
        if (openAtShutdown[entry]?.remove(request) != true) return
        findings.record(Promise.P8, isComplete || replicaByRequest[request] in lostReplicas) {
            "request $request was interrupted while $entry shut down"
        }
    }

    private fun checkFinished(event: HistoryEvent.ShutdownFinished) {
        val unfinished = openAtShutdown[event.entry].orEmpty().toList()
        findings.record(Promise.P8, unfinished.isEmpty()) {
            "${event.entry} ended with ${unfinished.size} open requests, such as ${unfinished.first()}"
        }
        findings.record(Promise.P8, event.exitCode == 0) { "${event.entry} ended with exit code ${event.exitCode}" }
    }
}
