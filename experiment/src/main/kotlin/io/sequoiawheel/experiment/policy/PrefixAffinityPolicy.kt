package io.sequoiawheel.experiment.policy

import io.sequoiawheel.core.membership.RendezvousHashing
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedRequest

/** Sends all requests with the same prompt prefix to the same replica, regardless of its load. */
class PrefixAffinityPolicy : ImmediatePolicy() {
    override val name = "prefix-affinity"

    override fun choose(
        request: SimulatedRequest,
        replicas: List<SimulatedReplica>,
    ): SimulatedReplica {
        val key =
            request.arrival.request.promptBlocks
                .lastOrNull()
                ?.toString() ?: request.arrival.request.generation.value
        val chosen = RendezvousHashing.first(key, replicas.map { InstanceId(it.index.toString()) })
        return replicas.first { it.index.toString() == chosen?.value }
    }
}
