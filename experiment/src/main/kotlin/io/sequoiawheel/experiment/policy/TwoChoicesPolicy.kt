package io.sequoiawheel.experiment.policy

import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedRequest
import io.sequoiawheel.experiment.simulation.SimulatedService

/**
 * Of two replicas chosen at random, the one whose memory and queue look less loaded: the reported share of used memory
 * plus the requests that wait there, and the entry instance's own requests since.
 */
class TwoChoicesPolicy : ImmediatePolicy() {
    override val name = "two-choices"

    private val counts = OutstandingCounts()
    private val reports by lazy { PolledReports(service) }

    override fun choose(
        request: SimulatedRequest,
        replicas: List<SimulatedReplica>,
    ): SimulatedReplica {
        val first = replicas[service.random.nextInt(replicas.size)]
        val second = replicas[service.random.nextInt(replicas.size)]
        return if (score(request, second) < score(request, first)) second else first
    }

    private fun score(
        request: SimulatedRequest,
        replica: SimulatedReplica,
    ): Double = reports.load(request.arrival.entry, replica) + OWN_WEIGHT * counts.of(request, replica)

    override fun start(service: SimulatedService) {
        super.start(service)
        reports.start()
    }

    override fun dispatched(
        request: SimulatedRequest,
        replica: SimulatedReplica,
    ) = counts.add(request, replica, 1)

    override fun ended(request: SimulatedRequest) = counts.add(request, request.replica!!, -1)

    override fun returned(
        request: SimulatedRequest,
        failure: Failure,
    ) = counts.add(request, request.replica!!, -1)

    private companion object {
        /** Share of a replica's memory that one own request stands for. */
        const val OWN_WEIGHT = 0.02
    }
}
