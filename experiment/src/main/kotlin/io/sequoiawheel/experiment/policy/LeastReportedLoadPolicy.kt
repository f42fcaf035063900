package io.sequoiawheel.experiment.policy

import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedRequest
import io.sequoiawheel.experiment.simulation.SimulatedService

/** Sends to the replica with the lowest load in the entry instance's last reports; breaks ties at random. */
class LeastReportedLoadPolicy : ImmediatePolicy() {
    override val name = "least-reported-load"

    private val reports by lazy { PolledReports(service) }

    override fun start(service: SimulatedService) {
        super.start(service)
        reports.start()
    }

    override fun choose(
        request: SimulatedRequest,
        replicas: List<SimulatedReplica>,
    ): SimulatedReplica {
        val lowest = replicas.minOf { reports.load(request.arrival.entry, it) }
        val candidates = replicas.filter { reports.load(request.arrival.entry, it) == lowest }
        return candidates[service.random.nextInt(candidates.size)]
    }
}
