package io.sequoiawheel.experiment

import io.sequoiawheel.core.model.WorkspaceName
import io.sequoiawheel.experiment.policy.Policies
import io.sequoiawheel.experiment.policy.SequoiawheelPolicy
import io.sequoiawheel.experiment.simulation.CapacityProbe
import io.sequoiawheel.experiment.simulation.DispatchPolicy
import io.sequoiawheel.experiment.simulation.SimulatedService
import io.sequoiawheel.experiment.simulation.Topology
import io.sequoiawheel.experiment.simulation.Workload
import io.sequoiawheel.experiment.simulation.WorkspaceTraffic

/**
 * Three large workspaces overload the service while the small ones stay below their fair share, once with ten and once
 * with 4,200 workspaces. The offered load of all workspaces together is the load option times [OVERLOAD_FACTOR].
 */
object FairnessExperiment : Experiment {
    override val name = "fairness"
    override val summary = "Service of small workspaces while a few large ones flood."

    private const val DURATION_MILLIS = 300_000.0

    /** At the default load of 0.9 the service is offered 1.8 times its capacity. */
    private const val OVERLOAD_FACTOR = 2.0

    /** Combined share of the small workspaces; 0.36 of the capacity at the default load. */
    private const val SMALL_SHARE = 0.2
    private const val LARGE_WORKSPACES = 3
    private const val FEW_WORKSPACES = 10

    /** The number of workspaces at the design size. */
    private const val MANY_WORKSPACES = 4_200

    private val topology = Topology()
    private val capacity: Double by lazy {
        CapacityProbe(workload(FEW_WORKSPACES), topology.engine).requestsPerSecond() * topology.replicas
    }

    override fun run(options: ExperimentOptions): ExperimentReport {
        val figures = LinkedHashMap<String, Map<String, Double>>()
        (Policies.baselines() + SequoiawheelPolicy()).forEach { policy ->
            figures[policy.name] = figures(policy, workload(FEW_WORKSPACES), options)
        }
        val manyPolicy = SequoiawheelPolicy()
        val manyFigures = figures(manyPolicy, workload(MANY_WORKSPACES), options)
        figures["${manyPolicy.name}-$MANY_WORKSPACES-workspaces"] =
            manyFigures + ("rememberedWorkspaces" to manyPolicy.trackedWorkspaces.toDouble())
        return ExperimentReport(
            experiment = name,
            seed = options.seed,
            parameters = mapOf("load" to options.load * OVERLOAD_FACTOR, "capacityRequestsPerSecond" to capacity),
            policies = figures,
            violations = figures.filterKeys { it.startsWith(ExperimentReport.OWN_POLICY) }.flatMap(::violations),
        )
    }

    /** Small workspaces stay below their fair share, so their completed share must not be less than the large ones'. */
    private fun violations(run: Map.Entry<String, Map<String, Double>>): List<String> =
        buildList {
            val (policy, figures) = run
            if (figures.getValue("unfinished") > 0) add("$policy: requests got no final answer")
            if (figures.getValue("failed") > 0) add("$policy: requests failed although no replica did")
            val small = figures.getValue("smallCompletedShare")
            val large = figures.getValue("largeCompletedShare")
            if (small < large) add("$policy: small workspaces completed $small of their requests, large ones $large")
        }

    private fun workload(workspaces: Int): Workload {
        val small = workspaces - LARGE_WORKSPACES
        val largeTraffic =
            List(LARGE_WORKSPACES) {
                WorkspaceTraffic(WorkspaceName("large-$it"), (1 - SMALL_SHARE) / LARGE_WORKSPACES)
            }
        val smallTraffic = List(small) { WorkspaceTraffic(WorkspaceName("small-$it"), SMALL_SHARE / small) }
        return Workload(largeTraffic + smallTraffic)
    }

    private fun figures(
        policy: DispatchPolicy,
        workload: Workload,
        options: ExperimentOptions,
    ): Map<String, Double> {
        val rate = capacity * options.load * OVERLOAD_FACTOR
        val arrivals = workload.arrivals(options.seed, rate, DURATION_MILLIS, topology.entries)
        val service = SimulatedService(topology, policy, workload.lengths(options.seed), options.seed)
        val measures = service.run(arrivals, DURATION_MILLIS)
        return measures.figures() + measures.groupFigures("small") + measures.groupFigures("large")
    }
}
