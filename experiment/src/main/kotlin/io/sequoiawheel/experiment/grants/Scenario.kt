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

/** What one run of a policy left behind. */
internal class ScenarioRun(
    val service: SimulatedService,
    val measures: Measures,
    val requests: List<SimulatedRequest>,
    val dispatches: List<Dispatch>,
    val refusedWithRoom: Int,
) {
    class Dispatch(
        val atMillis: Double,
        val request: SimulatedRequest,
        val replica: SimulatedReplica,
    )

    /** Figures of the requests that arrived in [span]. */
    fun phase(
        label: String,
        span: ClosedFloatingPointRange<Double>,
    ): Map<String, Double> {
        val part = requests.filter { it.arrival.atMillis in span }
        val waits = part.filter { it.produced > 0 }.map { it.firstTokenAt - it.arrival.atMillis }.sorted()
        val done = part.count { it.state == SimulatedRequest.State.DONE }
        return mapOf(
            "${label}CompletedShare" to done.toDouble() / part.size.coerceAtLeast(1),
            "${label}FirstTokenP95Millis" to (waits.getOrNull(waits.size * 95 / 100) ?: 0.0),
            "${label}StallTotalMillis" to part.sumOf { it.stallMillis },
        )
    }
}

/** Runs the own policy and the baselines on the same arrivals and the same [disturbance]. */
internal class Scenario(
    private val options: ExperimentOptions,
    private val durationMillis: Double,
    private val topology: Topology = Topology(),
    private val disturbance: (SimulatedService) -> Unit,
) {
    private val workload = Workload()

    /** Arrivals per second of the whole service. */
    val ratePerSecond = options.load * topology.replicas * CapacityProbe(workload, topology.engine).requestsPerSecond()

    private val arrivals = workload.arrivals(options.seed, ratePerSecond, durationMillis, topology.entries)

    /** Returns the runs by policy name, the own policy first. */
    fun run(): Map<String, ScenarioRun> {
        val observer = Observer()
        val own = GrantedPolicy(observer::dispatched) { _, room -> if (room > 0) observer.refusedWithRoom++ }
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
        disturbance(service)
        val measures = service.run(arrivals, durationMillis, DRAIN_MILLIS)
        return ScenarioRun(service, measures, observer.requests, observer.dispatches, observer.refusedWithRoom)
    }

    private class Observer {
        lateinit var service: SimulatedService
        val requests = ArrayList<SimulatedRequest>()
        val dispatches = ArrayList<ScenarioRun.Dispatch>()
        var refusedWithRoom = 0

        fun dispatched(
            request: SimulatedRequest,
            replica: SimulatedReplica,
        ) {
            dispatches += ScenarioRun.Dispatch(service.loop.now, request, replica)
        }
    }

    /** Records the requests of [inner] and, for policies that dispatch at once, its dispatches. */
    private class ObservedPolicy(
        private val inner: DispatchPolicy,
        private val observer: Observer,
    ) : DispatchPolicy by inner {
        override fun place(request: SimulatedRequest) {
            if (request.attempts == 0) observer.requests += request
            inner.place(request)
            val replica = request.replica
            val isImmediate = inner !is GrantedPolicy && request.state == SimulatedRequest.State.DISPATCHED
            if (isImmediate && replica != null) observer.dispatched(request, replica)
        }
    }

    private companion object {
        /** Long enough for the longest outputs. */
        const val DRAIN_MILLIS = 200_000.0
    }
}
