package io.sequoiawheel.experiment.policy

import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedRequest

/** Counts requests in progress by entry instance and replica; each entry instance knows only its own. */
internal class OutstandingCounts {
    private val counts = HashMap<Pair<Int, Int>, Int>()

    fun of(
        request: SimulatedRequest,
        replica: SimulatedReplica,
    ): Int = counts[request.arrival.entry to replica.index] ?: 0

    fun add(
        request: SimulatedRequest,
        replica: SimulatedReplica,
        delta: Int,
    ) {
        counts.merge(request.arrival.entry to replica.index, delta, Int::plus)
    }
}
