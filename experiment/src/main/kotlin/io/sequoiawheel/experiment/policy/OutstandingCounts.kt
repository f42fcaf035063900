package io.sequoiawheel.experiment.policy

import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedRequest

/** Requests in progress by entry instance and replica; entry instances know their own only. */
internal class OutstandingCounts {
    private val counts = HashMap<Pair<Int, Int>, Int>()

    fun of(
        request: SimulatedRequest,
        replica: SimulatedReplica,
    ): Int = counts[request.arrival.entry to replica.index] ?: 0

    fun add(
        request: SimulatedRequest,
        replica: SimulatedReplica,
        change: Int,
    ) {
        counts.merge(request.arrival.entry to replica.index, change, Int::plus)
    }
}
