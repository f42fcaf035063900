package io.sequoiawheel.experiment.grants

import io.sequoiawheel.core.admission.MemoryPredictor
import io.sequoiawheel.core.admission.RunningEstimate
import io.sequoiawheel.core.admission.SafetyFactor
import io.sequoiawheel.core.grant.GrantClient
import io.sequoiawheel.core.grant.GrantLedger
import io.sequoiawheel.core.grant.GrantView
import io.sequoiawheel.core.grant.LengthCorrection
import io.sequoiawheel.core.grant.PeakEstimator
import io.sequoiawheel.core.membership.RendezvousHashing
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceDocument.ColdStartPolicy
import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedService

/**
 * Simulates the ledger of one replica at its granting instance and the grant clients of all entry instances. Messages
 * between them take the topology's delay.
 */
internal class ReplicaGrants(
    private val service: SimulatedService,
    val replica: SimulatedReplica,
    correction: LengthCorrection,
) {
    val id = InstanceId("replica-${replica.index}")
    private val entries = (0 until service.topology.entries).toList()
    private val members = entries.filter { service.topology.zoneOf(it) == replica.zone }.associateBy { entryId(it) }
    private val safetyFactor = SafetyFactor()
    val grantingEntry: Int = members.getValue(RendezvousHashing.first(id.value, members.keys)!!)
    val clients = entries.map { GrantClient(entryId(it)) }
    val ledger =
        GrantLedger(
            id,
            entryId(grantingEntry),
            ColdStartPolicy(),
            PEAK_ESTIMATOR,
            correction,
            capacity = { report, now -> (report.memoryCapacityTokens * safetyFactor.value(now)).toLong() },
        )

    fun start() {
        service.loop.repeat(POLL_INTERVAL_MILLIS, service.random.nextDouble() * POLL_INTERVAL_MILLIS) { poll() }
        entries.forEach { entry ->
            service.loop.repeat(HEARTBEAT_INTERVAL_MILLIS, service.random.nextDouble() * HEARTBEAT_INTERVAL_MILLIS) {
                sendHeartbeat(entry)
            }
        }
    }

    /** Returns the one-way delay of a message between [entry] and the granting instance. */
    fun delayMillis(entry: Int): Double = if (entry == grantingEntry) 0.0 else service.topology.oneWayMillis

    private fun poll() {
        val now = service.loop.nowMillis
        val isLeaving = replica.listedState != Instance.State.LIVE
        ledger.update(GrantView(isResponsible = true, members = members.keys, isFresh = true), isLeaving, now)
        val report = replica.loadReport()
        if (report == null) {
            ledger.markUnreachable()
        } else {
            safetyFactor.report(report.startId, report.preemptions, now)
            ledger.report(report, now)
        }
    }

    private fun sendHeartbeat(entry: Int) {
        val client = clients[entry]
        val (_, heartbeat) = client.nextHeartbeat(entryId(grantingEntry), service.loop.nowMillis)
        service.loop.schedule(delayMillis(entry)) {
            val answer = ledger.heartbeat(heartbeat, service.loop.nowMillis)
            service.loop.schedule(delayMillis(entry)) {
                client.onAnswer(entryId(grantingEntry), answer, service.loop.nowMillis)
                if (heartbeat.echo == 0L && answer.isResponsible) sendHeartbeat(entry)
            }
        }
    }

    companion object {
        private const val POLL_INTERVAL_MILLIS = 500.0
        private const val HEARTBEAT_INTERVAL_MILLIS = 1_000.0

        fun entryId(entry: Int) = InstanceId("entry-$entry")

        private val PEAK_ESTIMATOR =
            PeakEstimator { reservations ->
                MemoryPredictor.peakTokens(
                    reservations.map {
                        val remaining = (it.predictedTokens - it.producedTokens).coerceAtLeast(1)
                        RunningEstimate((it.promptTokens + it.producedTokens).toInt(), remaining.toInt())
                    },
                )
            }
    }
}
