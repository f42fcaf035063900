package io.sequoiawheel.experiment.grants

import io.sequoiawheel.experiment.ExperimentOptions
import io.sequoiawheel.experiment.policy.Policies
import io.sequoiawheel.experiment.simulation.CapacityProbe
import io.sequoiawheel.experiment.simulation.DispatchPolicy
import io.sequoiawheel.experiment.simulation.Measures
import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedRequest
import io.sequoiawheel.experiment.simulation.SimulatedService
import io.sequoiawheel.experiment.simulation.Topology
import io.sequoiawheel.experiment.simulation.Workload

/** The results of one run of a policy. */
internal class ScenarioRun(
    val service: SimulatedService,
    val measures: Measures,
    val requests: List<SimulatedRequest>,
    val dispatches: List<Dispatch>,
    val refusedDespiteCapacity: Int,
) {
    class Dispatch(
        val atMillis: Double,
        val request: SimulatedRequest,
        val replica: SimulatedReplica,
    )

    /** Returns the figures of the requests that arrived in [span], each name starting with [label]. */
    fun phaseFigures(
        label: String,
        span: ClosedFloatingPointRange<Double>,
    ): Map<String, Double> {
        val arrived = requests.filter { it.arrival.atMillis in span }
        val firstTokenDelays = arrived.filter { it.produced > 0 }.map { it.firstTokenAt - it.arrival.atMillis }.sorted()
        val done = arrived.count { it.state == SimulatedRequest.State.DONE }
        return mapOf(
            "${label}CompletedShare" to done.toDouble() / arrived.size.coerceAtLeast(1),
            "${label}FirstTokenP95Millis" to (firstTokenDelays.getOrNull(firstTokenDelays.size * 95 / 100) ?: 0.0),
            "${label}StallTotalMillis" to arrived.sumOf { it.stallMillis },
        )
    }
}

/** Runs the system's own policy and the baselines with the same arrivals and the same [scheduleFaults]. */
internal class Scenario(
    private val options: ExperimentOptions,
    private val durationMillis: Double,
    private val topology: Topology = Topology(),
    private val scheduleFaults: (SimulatedService) -> Unit,
) {
    private val workload = Workload()

    /** Arrivals per second of the whole service. */
    val ratePerSecond = options.load * topology.replicas * CapacityProbe(workload, topology.engine).requestsPerSecond()

    private val arrivals = workload.arrivals(options.seed, ratePerSecond, durationMillis, topology.entries)

    /** Returns the runs by policy name, the system's own policy first. */
    fun run(): Map<String, ScenarioRun> {
        val observer = Observer()
        val own =
            GrantBasedPolicy(observer::recordDispatch) { _, replicasWithCapacity ->
                if (replicasWithCapacity > 0) observer.refusedDespiteCapacity++
            }
        val runs = LinkedHashMap<String, ScenarioRun>()
        runs[own.name] = run(own, observer)
        Policies.baselines().forEach { runs[it.name] = run(it, Observer()) }
        return runs
    }

    private fun run(
        policy: DispatchPolicy,
        observer: Observer,
    ): ScenarioRun {
        val observed = ObservedPolicy(policy, observer)
        val service = SimulatedService(topology, observed, workload.lengths(options.seed), options.seed)
        observer.service = service
        scheduleFaults(service)
        val measures = service.run(arrivals, durationMillis, DRAIN_MILLIS)
        return ScenarioRun(service, measures, observer.requests, observer.dispatches, observer.refusedDespiteCapacity)
    }

    private class Observer {
        lateinit var service: SimulatedService
        val requests = ArrayList<SimulatedRequest>()
        val dispatches = ArrayList<ScenarioRun.Dispatch>()
        var refusedDespiteCapacity = 0

        fun recordDispatch(
            request: SimulatedRequest,
            replica: SimulatedReplica,
        ) {
            dispatches += ScenarioRun.Dispatch(service.loop.now, request, replica)
        }
    }

    /** Records the requests of [inner] and, for policies that dispatch immediately, its dispatches. */
    private class ObservedPolicy(
        private val inner: DispatchPolicy,
        private val observer: Observer,
    ) : DispatchPolicy by inner {
        override fun place(request: SimulatedRequest) {
            if (request.attempts == 0) observer.requests += request
            inner.place(request)
            val replica = request.replica
            val isImmediate = inner !is GrantBasedPolicy && request.state == SimulatedRequest.State.DISPATCHED
            if (isImmediate && replica != null) observer.recordDispatch(request, replica)
        }
    }

    private companion object {
        /** Time for the longest outputs to finish after the last arrival. */
        const val DRAIN_MILLIS = 200_000.0
    }
}
