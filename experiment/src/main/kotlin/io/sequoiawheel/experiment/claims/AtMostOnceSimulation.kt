package io.sequoiawheel.experiment.claims

import arrow.core.Either
import arrow.core.right
import io.sequoiawheel.core.claim.ClaimPolicy
import io.sequoiawheel.core.claim.ClaimRegistry
import io.sequoiawheel.core.history.HistoryRecorder
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.serving.CallDemand
import io.sequoiawheel.core.serving.CallRunner
import io.sequoiawheel.core.serving.Claims
import io.sequoiawheel.core.serving.Demand
import io.sequoiawheel.core.serving.PlacedRequest
import io.sequoiawheel.core.serving.Placement
import io.sequoiawheel.core.serving.Retries
import io.sequoiawheel.experiment.virtual.VirtualTime
import io.sequoiawheel.standin.store.ObjectStoreModel
import io.sequoiawheel.standin.store.StoreClient
import io.sequoiawheel.standin.store.StoreFaults
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Simulates entry instances in three zones, a plain service and the object store, and injects the faults of a run. */
internal class AtMostOnceSimulation(
    seed: Long,
    plans: List<CallPlan>,
    private val policy: Policy,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    /** The [Claims] implementation that the entry instances use. */
    enum class Policy(
        val label: String,
    ) {
        OWN("sequoiawheel"),
        NO_CLAIMS("no-claims"),
        NO_READ_BACK("claims-without-read-back"),
    }

    val history = HistoryRecorder()
    val store = ObjectStoreModel(clock, VirtualTime.random(seed, "store"), scope = scope)
    private val random = VirtualTime.random(seed, "retries")
    private val gateway = SimulatedGateway(plans, clock, history, scope)
    private val entriesBySlot = arrayOfNulls<EntryModel>(CallPlan.SLOTS)
    private val clients = HashMap<EntryModel, StoreClient>()
    private val liveInstances = HashSet<InstanceId>()
    private var incarnations = 0
    private var claimCount = 0

    private val replicas =
        List(ZONES) { zone ->
            Instance(
                InstanceId("desk$zone"),
                Instance.Role.BACKEND,
                ZoneName("z$zone"),
                "r",
                "127.0.0.1:1",
                document.service,
            )
        }

    private val activeFaults = mutableListOf<FaultPlan>()

    private val retries =
        object : Retries {
            override fun onFirstAttempt(document: ServiceDocument) = Unit

            override fun tryAcquire(document: ServiceDocument) = true

            override fun backoffMillis(attempt: Int): Long = 20 + random.nextLong(50)
        }

    init {
        entriesBySlot.indices.forEach { startEntry(it) }
    }

    /** Returns the entry instance in [slot], or null while it is being replaced. */
    fun entry(slot: Int): EntryModel? = entriesBySlot[slot]

    /** Returns the demand for the call of [plan] as request [request]. */
    fun demand(
        request: RequestId,
        plan: CallPlan,
    ) = CallDemand(
        Demand(request, WorkspaceName("w"), document, "call", clock.nowMillis() + document.calls[0].deadlineMillis),
        document.calls[0],
        plan.key,
        plan.key,
    )

    /** Applies [fault] from its start until its end. */
    suspend fun inject(fault: FaultPlan) {
        delay(fault.fromMillis - clock.nowMillis())
        if (fault.kind == FaultPlan.Kind.ENTRY_DEATH) {
            replaceEntry(fault.slot)
            return
        }
        activeFaults += fault
        applyFaults()
        delay(fault.untilMillis - clock.nowMillis())
        activeFaults -= fault
        applyFaults()
    }

    private fun applyFaults() {
        val kinds = activeFaults.map { it.kind }.toSet()
        store.faults =
            StoreFaults(
                outage = FaultPlan.Kind.STORE_OUTAGE in kinds,
                latencyMillis = if (FaultPlan.Kind.STORE_SLOW in kinds) SLOW_LATENCY_MILLIS else NORMAL_LATENCY_MILLIS,
                lostAnswerProbability = if (FaultPlan.Kind.LOST_ANSWERS in kinds) FAULT_PROBABILITY else 0.0,
                lateWriteProbability = if (FaultPlan.Kind.LATE_WRITES in kinds) FAULT_PROBABILITY else 0.0,
                staleMillis = if (FaultPlan.Kind.STALE_READS in kinds) STALE_MILLIS else 0,
            )
        val isolatedZones = activeFaults.filter { it.kind == FaultPlan.Kind.ZONE_CUT }.map { it.slot % ZONES }
        clients.forEach { (entry, client) ->
            client.faults = StoreFaults(outage = entry.slot % ZONES in isolatedZones, latencyMillis = 0)
        }
    }

    private suspend fun replaceEntry(slot: Int) {
        val dead = entriesBySlot[slot] ?: return
        entriesBySlot[slot] = null
        dead.crash()
        clients -= dead
        delay(LIST_LAG_MILLIS)
        liveInstances -= dead.id
        delay(REPLACEMENT_MILLIS)
        startEntry(slot)
    }

    private fun startEntry(slot: Int) {
        val entry = EntryModel(InstanceId("e$slot.${incarnations++}"), slot, scope)
        clients[entry] = store.client()
        liveInstances += entry.id
        entry.runner =
            CallRunner(
                gateway.forEntry(entry),
                createPlacement(entry),
                retries,
                createClaims(entry),
                clock,
                entry.scope,
            ) { it }
        entriesBySlot[slot] = entry
        applyFaults()
    }

    private fun createClaims(entry: EntryModel): Claims {
        val api = entry.guard(clients.getValue(entry))
        return when (policy) {
            Policy.NO_CLAIMS -> NoClaims()
            Policy.NO_READ_BACK -> ClaimsWithoutReadBack(api, entry.id) { it in liveInstances }
            Policy.OWN -> {
                val registry =
                    ClaimRegistry(
                        api,
                        entry.id,
                        clock,
                        { it in liveInstances },
                        { "${entry.id}-${claimCount++}" },
                        claimPolicy,
                    )
                entry.scope.launch { registry.retryPendingWrites() }
                RegistryClaims(registry)
            }
        }
    }

    private fun createPlacement(entry: EntryModel) =
        object : Placement {
            override suspend fun place(
                demand: Demand,
                avoided: Set<InstanceId>,
            ): Either<Failure, PlacedRequest> {
                val local = replicas[entry.slot % ZONES]
                val replica = local.takeIf { it.id !in avoided } ?: replicas.firstOrNull { it.id !in avoided } ?: local
                return AssignedReplica(replica).right()
            }
        }

    private class AssignedReplica(
        override val replica: Instance,
    ) : PlacedRequest {
        override val queueMillis = 0L

        override fun onFirstToken(elapsedMillis: Long) = Unit

        override fun finish(
            verdict: PlacedRequest.Verdict,
            tokens: Int,
        ) = Unit
    }

    private companion object {
        const val ZONES = 3
        const val NORMAL_LATENCY_MILLIS = 4L
        const val SLOW_LATENCY_MILLIS = 800L
        const val STALE_MILLIS = 2_000L
        const val FAULT_PROBABILITY = 0.4
        const val LIST_LAG_MILLIS = 3_000L

        // Six instances may work off their backlogs of pending writes faster than a fleet of 340.
        val claimPolicy = ClaimPolicy(backlogDelayMillis = 200)
        const val REPLACEMENT_MILLIS = 5_000L

        val document =
            ServiceDocument(
                service = ServiceName("pledge-desk"),
                kind = ServiceDocument.Kind.PLAIN_SERVICE,
                author = "experiment",
                calls = listOf(ServiceDocument.Call("record", idempotent = false, deadlineMillis = 10_000)),
            )
    }
}
