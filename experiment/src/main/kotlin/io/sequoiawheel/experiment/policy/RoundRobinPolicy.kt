package io.sequoiawheel.experiment.policy

import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedRequest

/** Sends the requests of each entry instance to the replicas in turn. */
class RoundRobinPolicy : ImmediatePolicy() {
    override val name = "round-robin"

    private val nextTurns = HashMap<Int, Int>()

    override fun choose(
        request: SimulatedRequest,
        replicas: List<SimulatedReplica>,
    ): SimulatedReplica {
        val entry = request.arrival.entry
        val turn = nextTurns.getOrElse(entry) { entry }
        nextTurns[entry] = turn + 1
        return replicas[turn % replicas.size]
    }
}
