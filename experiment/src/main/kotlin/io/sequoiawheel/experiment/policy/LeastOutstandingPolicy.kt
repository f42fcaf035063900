package io.sequoiawheel.experiment.policy

import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedRequest

/** Sends to the replica with the fewest outstanding requests of the same entry instance; breaks ties at random. */
class LeastOutstandingPolicy : ImmediatePolicy() {
    override val name = "least-outstanding"

    private val counts = OutstandingCounts()

    override fun choose(
        request: SimulatedRequest,
        replicas: List<SimulatedReplica>,
    ): SimulatedReplica {
        val fewest = replicas.minOf { counts.of(request, it) }
        val candidates = replicas.filter { counts.of(request, it) == fewest }
        return candidates[service.random.nextInt(candidates.size)]
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
}
