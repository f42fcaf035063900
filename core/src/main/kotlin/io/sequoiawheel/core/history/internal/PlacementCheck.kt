package io.sequoiawheel.core.history.internal

import io.sequoiawheel.core.history.CheckBounds
import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName

/** Checks P2, P3 and P7: which replicas receive work. */
internal class PlacementCheck(
    private val events: List<HistoryEvent>,
    private val bounds: CheckBounds,
    private val findings: FindingCollector,
) {
    private val replicas = HashMap<InstanceId, HistoryEvent.ReplicaCapacity>()
    private val running = HashMap<InstanceId, MutableSet<RequestId>>()
    private val leavingSince = HashMap<InstanceId, Long>()
    private val outSince = HashMap<Pair<ServiceName, ZoneName>, Long>()

    fun run() {
        for (event in events) {
            when (event) {
                is HistoryEvent.ReplicaCapacity -> replicas[event.replica] = event
                is HistoryEvent.ReplicaLeaving -> leavingSince.putIfAbsent(event.replica, event.atMillis)
                is HistoryEvent.ReplicaLost -> running.remove(event.replica)
                is HistoryEvent.ZoneChanged -> updateZone(event)
                is HistoryEvent.RunStarted -> checkCapacity(event)
                is HistoryEvent.RunEnded -> running[event.replica]?.remove(event.request)
                is HistoryEvent.Dispatched -> checkDispatch(event)
                else -> Unit
            }
        }
    }

    private fun updateZone(event: HistoryEvent.ZoneChanged) {
        val serviceAndZone = event.service to event.zone
        if (event.isOut) outSince.putIfAbsent(serviceAndZone, event.atMillis) else outSince.remove(serviceAndZone)
    }

    private fun checkCapacity(event: HistoryEvent.RunStarted) {
        val active = running.getOrPut(event.replica) { mutableSetOf() }.apply { add(event.request) }
        val limit = replicas[event.replica]?.concurrent ?: return
        findings.record(Promise.P2, active.size <= limit) {
            "replica ${event.replica} can handle $limit requests and ran ${active.size} at ${event.atMillis} ms"
        }
    }

    private fun checkDispatch(event: HistoryEvent.Dispatched) {
        leavingSince[event.replica]?.let { since ->
            findings.record(Promise.P7, event.atMillis - since <= bounds.leavingMillis) {
                "request ${event.request} went to ${event.replica} ${event.atMillis - since} ms after it began leaving"
            }
        }
        val replica = replicas[event.replica] ?: return
        outSince[replica.service to replica.zone]?.let { since ->
            findings.record(Promise.P3, event.atMillis - since <= bounds.zoneMillis) {
                "request ${event.request} was dispatched to ${event.replica} in zone ${replica.zone} " +
                    "${event.atMillis - since} ms after the zone was taken out"
            }
        }
    }
}
