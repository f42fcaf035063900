package io.sequoiawheel.experiment.policy

import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedRequest
import io.sequoiawheel.experiment.simulation.SimulatedService

/**
 * Sends to the less loaded of two replicas chosen at random. The load is the reported share of memory in use plus the
 * reported waiting requests, and a weight for each outstanding request of the entry instance.
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
    ): Double = reports.load(request.arrival.entry, replica) + OUTSTANDING_WEIGHT * counts.of(request, replica)

    override fun start(service: SimulatedService) {
        super.start(service)
        reports.start()
    }

    override fun onDispatch(
        request: SimulatedRequest,
        replica: SimulatedReplica,
    ) = counts.add(request, replica, 1)

    override fun onEnded(request: SimulatedRequest) = counts.add(request, request.replica!!, -1)

    override fun onReturned(
        request: SimulatedRequest,
        failure: Failure,
    ) = counts.add(request, request.replica!!, -1)

    private companion object {
        /** Share of a replica's memory that one outstanding request of the entry instance counts as. */
        const val OUTSTANDING_WEIGHT = 0.02
    }
}
