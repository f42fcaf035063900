package io.sequoiawheel.experiment.policy

import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedService

/** Load reports that each entry instance polls from each replica on its own schedule. */
internal class PolledReports(
    private val service: SimulatedService,
) {
    private val reports = Array(service.topology.entries) { arrayOfNulls<LoadReport>(service.topology.replicas) }

    fun start() {
        for (entry in 0 until service.topology.entries) {
            service.loop.repeat(POLL_INTERVAL_MILLIS, service.random.nextDouble() * POLL_INTERVAL_MILLIS) {
                service.replicas.forEach { reports[entry][it.index] = it.loadReport() }
            }
        }
    }

    /** Returns the share of memory in use plus the number of waiting requests; 0 for a replica without a report. */
    fun load(
        entry: Int,
        replica: SimulatedReplica,
    ): Double {
        val report = reports[entry][replica.index] ?: return 0.0
        return report.memoryTokens.toDouble() / report.memoryCapacityTokens + report.waiting
    }

    private companion object {
        /** The same interval as the system's own load polls. */
        const val POLL_INTERVAL_MILLIS = 500.0
    }
}
