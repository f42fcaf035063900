/*
 * The system's own policy: requests wait in a fair queue at their entry instance until a granting instance has reserved
 * predicted memory at a replica. Messages between entry instances take the topology's delay. Heartbeats carry the
 * progress of generations and load reports to granting instances, and views to entry instances.
 */
package io.sequoiawheel.experiment.policy

import io.sequoiawheel.core.admission.GenerationForecast
import io.sequoiawheel.core.admission.LengthKey
import io.sequoiawheel.core.admission.ReplicaMemory
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.routing.PrefixIndex
import io.sequoiawheel.core.routing.ReplicaView
import io.sequoiawheel.experiment.ExperimentReport
import io.sequoiawheel.experiment.simulation.DispatchPolicy
import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedRequest
import io.sequoiawheel.experiment.simulation.SimulatedService

/**
 * Admits requests from fair queues by predicted memory.
 *
 * @param prefixes index of probably cached prompt prefixes, updated with heartbeats; null to ignore the caches
 */
class SequoiawheelPolicy(
    override val name: String = ExperimentReport.OWN_POLICY,
    private val prefixes: PrefixIndex? = null,
) : DispatchPolicy {
    internal lateinit var service: SimulatedService
        private set

    private lateinit var memories: List<ReplicaMemory>
    private lateinit var entries: List<SimulatedEntry>
    private val reservedByReplica = HashMap<Int, MutableSet<SimulatedRequest>>()

    /** The largest number of workspaces for which any entry instance holds state at the end of the run. */
    val trackedWorkspaces: Int get() = entries.maxOf { maxOf(it.queue.workspaces, it.estimator.historyCount) }

    override fun start(service: SimulatedService) {
        this.service = service
        memories = service.replicas.map { ReplicaMemory() }
        entries = List(service.topology.entries) { SimulatedEntry(this, ZoneName(service.topology.zoneOf(it))) }
        service.replicas.forEach { replica ->
            poll(replica)
            publishView(replica)
            service.loop.repeat(HEARTBEAT_INTERVAL_MILLIS, service.random.nextDouble() * HEARTBEAT_INTERVAL_MILLIS) {
                poll(replica)
                service.loop.schedule(service.topology.oneWayMillis) { publishView(replica) }
            }
        }
    }

    override fun place(request: SimulatedRequest) = entries[request.arrival.entry].offer(request)

    override fun onEnded(request: SimulatedRequest) {
        entries[request.arrival.entry].onEnded(request)
        release(request, request.replica!!)
    }

    override fun onReturned(
        request: SimulatedRequest,
        failure: Failure,
    ) = release(request, request.replica!!)

    /** Reserves memory at the granting instance of [replica]. Returns whether it succeeded. */
    internal fun reserve(
        request: SimulatedRequest,
        replica: SimulatedReplica,
    ): Boolean {
        val model = request.arrival.request
        val isReserved =
            memories[replica.index].reserve(
                model.generation,
                model.promptTokens,
                forecast(request),
                service.loop.nowMillis,
            )
        if (isReserved) reservedByReplica.getOrPut(replica.index) { LinkedHashSet() } += request
        return isReserved
    }

    /** Releases the reservation of [request] once the message has reached the granting instance. */
    internal fun release(
        request: SimulatedRequest,
        replica: SimulatedReplica,
    ) = service.loop.schedule(service.topology.oneWayMillis) {
        memories[replica.index].release(request.arrival.request.generation)
        reservedByReplica[replica.index]?.remove(request)
    }

    /** Returns the view that the granting instance of [replica] sends to an entry instance. */
    internal fun viewOf(replica: SimulatedReplica): ReplicaView =
        ReplicaView(
            replica = idOf(replica),
            zone = ZoneName(replica.zone),
            freeTokens = memories[replica.index].freeTokens(service.loop.nowMillis),
            capacityTokens =
                service.topology.engine.memoryTokens
                    .toLong(),
            freeRequests = memories[replica.index].freeRequests,
        )

    /** Returns how many prompt tokens of [request] are probably cached at [replica]. */
    internal fun cachedTokens(
        request: SimulatedRequest,
        replica: SimulatedReplica,
    ): Long = prefixes?.cachedTokens(idOf(replica), request.arrival.request.promptBlocks) ?: 0

    private fun idOf(replica: SimulatedReplica) = InstanceId(replica.index.toString())

    private fun applyCacheEvents(
        replica: SimulatedReplica,
        startId: String,
    ) {
        val index = prefixes ?: return
        replica.cacheEvents(index.lastSequence(idOf(replica), startId)).forEach { event ->
            index.apply(idOf(replica), startId, event.sequence, event.stored, event.evicted)
        }
    }

    private fun poll(replica: SimulatedReplica) {
        replica.loadReport()?.let {
            memories[replica.index].report(it, service.loop.nowMillis)
            applyCacheEvents(replica, it.startId)
        }
        reservedByReplica[replica.index].orEmpty().forEach {
            memories[replica.index].update(it.arrival.request.generation, forecast(it))
        }
    }

    private fun publishView(replica: SimulatedReplica) {
        val view = viewOf(replica)
        entries.forEach { it.views[replica.index] = view }
    }

    /** Adds half a memory block to the tokens held, the mean of the empty part of the last block. */
    private fun forecast(request: SimulatedRequest): GenerationForecast {
        val limit = request.arrival.request.maximumTokens
        val lengths = entries[request.arrival.entry].estimator.forecastQuantiles(keyOf(request), request.produced)
        return GenerationForecast(
            heldTokens = request.heldTokens + service.topology.engine.blockTokens / 2,
            remainingTokens = lengths.map { maxOf(1, minOf(it, limit) - request.produced) },
        )
    }

    internal companion object {
        private val SERVICE = ServiceName("wheel-writers")

        /** Interval at which granting instances poll their replicas and answer heartbeats. */
        private const val HEARTBEAT_INTERVAL_MILLIS = 500.0

        fun keyOf(request: SimulatedRequest) = LengthKey(SERVICE, request.arrival.workspace, request.arrival.kind)
    }
}
