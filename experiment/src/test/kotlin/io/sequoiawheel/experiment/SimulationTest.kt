package io.sequoiawheel.experiment

import io.sequoiawheel.experiment.policy.LeastOutstandingPolicy
import io.sequoiawheel.experiment.policy.SequoiawheelPolicy
import io.sequoiawheel.experiment.simulation.DispatchPolicy
import io.sequoiawheel.experiment.simulation.SimulatedRequest
import io.sequoiawheel.experiment.simulation.SimulatedService
import io.sequoiawheel.experiment.simulation.Topology
import io.sequoiawheel.experiment.simulation.Workload
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class SimulationTest {
    private val topology = Topology(replicas = 2, entries = 2)
    private val workload = Workload()

    private fun service(policy: DispatchPolicy) =
        SimulatedService(topology, policy, workload.lengths(SEED), SEED, warmUpMillis = 0.0)

    private fun arrivals(rate: Double) = workload.arrivals(SEED, rate, DURATION, topology.entries)

    /** Guards against figures that differ between runs with the same seed. */
    @Test
    fun `the same seed gives the same figures`() {
        val runs = List(2) { service(SequoiawheelPolicy()).run(arrivals(5.0), DURATION).figures() }
        assertEquals(runs[0], runs[1])
    }

    /** Guards against requests that are lost between policy and engines when a replica fails. */
    @Test
    fun `every request ends when a replica fails and a zone is taken out of service`() {
        listOf(SequoiawheelPolicy(), LeastOutstandingPolicy()).forEach { policy ->
            val service = service(policy)
            service.loop.schedule(20_000.0) { service.kill(service.replicas[0]) }
            service.loop.schedule(40_000.0) { service.setZoneOutOfService(service.replicas[1].zone, true) }
            val arrivals = arrivals(5.0)
            val measures = service.run(arrivals, DURATION)
            assertEquals(arrivals.size, SimulatedRequest.State.entries.sumOf { measures.count(it) })
            assertEquals(0.0, measures.figures().getValue("unfinished"))
            assertTrue(measures.count(SimulatedRequest.State.FAILED) > 0)
        }
    }

    /** Guards against admission that lets engine memory overflow under overload. */
    @Test
    fun `overload preempts at most a tenth as often as the baseline`() {
        val own = service(SequoiawheelPolicy()).run(arrivals(8.0), DURATION)
        val baseline = service(LeastOutstandingPolicy()).run(arrivals(8.0), DURATION)
        assertTrue(baseline.preemptions > 0)
        assertTrue(own.preemptions * 10 <= baseline.preemptions) { "${own.preemptions} of ${baseline.preemptions}" }
    }

    private companion object {
        const val SEED = 5L
        const val DURATION = 120_000.0
    }
}
