package io.sequoiawheel.experiment.policy

import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedRequest

/** Each entry instance sends to the replicas in turn. */
class RoundRobinPolicy : ImmediatePolicy() {
    override val name = "round-robin"

    private val next = HashMap<Int, Int>()

    override fun choose(
        request: SimulatedRequest,
        replicas: List<SimulatedReplica>,
    ): SimulatedReplica {
        val entry = request.arrival.entry
        val turn = next.getOrElse(entry) { entry }
        next[entry] = turn + 1
        return replicas[turn % replicas.size]
    }
}
