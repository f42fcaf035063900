package io.sequoiawheel.experiment

import io.sequoiawheel.core.model.WorkspaceName
import io.sequoiawheel.core.routing.PrefixIndex
import io.sequoiawheel.experiment.policy.Policies
import io.sequoiawheel.experiment.policy.PrefixAffinityPolicy
import io.sequoiawheel.experiment.policy.SequoiawheelPolicy
import io.sequoiawheel.experiment.simulation.CapacityProbe
import io.sequoiawheel.experiment.simulation.DispatchPolicy
import io.sequoiawheel.experiment.simulation.Measures
import io.sequoiawheel.experiment.simulation.SimulatedRequest
import io.sequoiawheel.experiment.simulation.SimulatedService
import io.sequoiawheel.experiment.simulation.Topology
import io.sequoiawheel.experiment.simulation.Workload
import io.sequoiawheel.experiment.simulation.WorkspaceTraffic

/**
 * Simulates sixty workspaces whose letters share long prompt prefixes, more than one engine's cache holds. Measures how
 * much the prefix index shortens first-token times, and the hot spots that routing by cache alone causes.
 */
object PrefixCacheExperiment : Experiment {
    override val name = "prefix-cache"
    override val summary = "First-token gain of the prefix index, and the hot spots of following caches alone."

    private const val DURATION_MILLIS = 300_000.0
    private const val WORKSPACES = 60

    /** 128 blocks per workspace; the cache of one engine holds the prefixes of 16 workspaces. */
    private const val PREFIX_TOKENS = 2_048
    private const val LARGE_SHARE = 0.25
    private const val WITHOUT_INDEX = "sequoiawheel-without-index"

    private val topology = Topology()
    private val workload =
        Workload(
            List(WORKSPACES) {
                val share = if (it == 0) LARGE_SHARE else (1 - LARGE_SHARE) / (WORKSPACES - 1)
                WorkspaceTraffic(WorkspaceName("workspace-$it"), share, prefixTokens = PREFIX_TOKENS)
            },
        )
    private val capacity: Double by lazy {
        CapacityProbe(workload, topology.engine).requestsPerSecond() * topology.replicas
    }

    override fun run(options: ExperimentOptions): ExperimentReport {
        val own =
            listOf(
                SequoiawheelPolicy(prefixes = PrefixIndex(blockTokens = topology.engine.blockTokens)),
                SequoiawheelPolicy(WITHOUT_INDEX),
            )
        val runs = (Policies.baselines() + PrefixAffinityPolicy() + own).associate { it.name to run(it, options) }
        return ExperimentReport(
            experiment = name,
            seed = options.seed,
            parameters = mapOf("load" to options.load, "capacityRequestsPerSecond" to capacity),
            policies = runs.mapValues { (_, run) -> run.measures.figures() + run.hotSpotFigures() },
            violations = runs.getValue(ExperimentReport.OWN_POLICY).measures.violations(),
        )
    }

    private fun run(
        policy: DispatchPolicy,
        options: ExperimentOptions,
    ): Run {
        val arrivals = workload.arrivals(options.seed, capacity * options.load, DURATION_MILLIS, topology.entries)
        val countingPolicy = CountingPolicy(policy)
        val service = SimulatedService(topology, countingPolicy, workload.lengths(options.seed), options.seed)
        return Run(service.run(arrivals, DURATION_MILLIS), countingPolicy.endedByReplica.values)
    }

    private class Run(
        val measures: Measures,
        private val endedByReplica: Collection<Int>,
    ) {
        fun hotSpotFigures(): Map<String, Double> {
            val mean = endedByReplica.sum().toDouble() / topology.replicas
            return mapOf("busiestReplicaShareOfMean" to endedByReplica.max() / mean)
        }
    }

    private class CountingPolicy(
        private val policy: DispatchPolicy,
    ) : DispatchPolicy by policy {
        val endedByReplica = HashMap<Int, Int>()

        override fun onEnded(request: SimulatedRequest) {
            request.replica?.let { endedByReplica.merge(it.index, 1, Int::plus) }
            policy.onEnded(request)
        }
    }
}
