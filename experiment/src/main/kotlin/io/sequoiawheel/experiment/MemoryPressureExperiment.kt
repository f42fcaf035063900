package io.sequoiawheel.experiment

import io.sequoiawheel.experiment.policy.Policies
import io.sequoiawheel.experiment.policy.SequoiawheelPolicy
import io.sequoiawheel.experiment.simulation.CapacityProbe
import io.sequoiawheel.experiment.simulation.DispatchPolicy
import io.sequoiawheel.experiment.simulation.Measures
import io.sequoiawheel.experiment.simulation.SimulatedService
import io.sequoiawheel.experiment.simulation.Topology
import io.sequoiawheel.experiment.simulation.Workload

/** Offers long letters and short summaries at a share of the capacity that engines sustain without preemption. */
object MemoryPressureExperiment : Experiment {
    override val name = "memory-pressure"
    override val summary = "Stall time, preemptions and time between tokens when engine memory is scarce."

    private const val DURATION_MILLIS = 400_000.0
    private val topology = Topology()
    private val workload = Workload()

    /** Requests per second that the service sustains; measured once, because it does not depend on the seed. */
    private val capacity: Double by lazy {
        CapacityProbe(workload, topology.engine).requestsPerSecond() * topology.replicas
    }

    override fun run(options: ExperimentOptions): ExperimentReport {
        val policies = Policies.baselines() + SequoiawheelPolicy()
        val measures = policies.associate { it.name to measures(it, options) }
        return ExperimentReport(
            experiment = name,
            seed = options.seed,
            parameters = mapOf("load" to options.load, "capacityRequestsPerSecond" to capacity),
            policies = measures.mapValues { it.value.figures() },
            violations = measures.getValue(ExperimentReport.OWN_POLICY).violations(),
        )
    }

    private fun measures(
        policy: DispatchPolicy,
        options: ExperimentOptions,
    ): Measures {
        val arrivals = workload.arrivals(options.seed, capacity * options.load, DURATION_MILLIS, topology.entries)
        val service = SimulatedService(topology, policy, workload.lengths(options.seed), options.seed)
        return service.run(arrivals, DURATION_MILLIS)
    }
}
