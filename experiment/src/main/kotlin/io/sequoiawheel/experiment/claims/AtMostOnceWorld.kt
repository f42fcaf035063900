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

/** Entry instances in three zones, one plain service, the object store, and the faults of one run. */
internal class AtMostOnceWorld(
    seed: Long,
    plans: List<CallPlan>,
    private val policy: Policy,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    /** Which claims the entry instances use. */
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
    private val desk = DeskGateway(plans, clock, history, scope)
    private val slots = arrayOfNulls<EntryModel>(CallPlan.SLOTS)
    private val clients = HashMap<EntryModel, StoreClient>()
    private val live = HashSet<InstanceId>()
    private var incarnations = 0
    private var claimIds = 0

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

    private val active = mutableListOf<FaultPlan>()

    private val retries =
        object : Retries {
            override fun onFirstAttempt(document: ServiceDocument) = Unit

            override fun tryAcquire(document: ServiceDocument) = true

            override fun backoffMillis(attempt: Int): Long = 20 + random.nextLong(50)
        }

    init {
        slots.indices.forEach { start(it) }
    }

    /** Returns the entry instance in [slot], or null while it is being replaced. */
    fun entry(slot: Int): EntryModel? = slots[slot]

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

    /** Carries [fault] out from its beginning to its end. */
    suspend fun strike(fault: FaultPlan) {
        delay(fault.fromMillis - clock.nowMillis())
        if (fault.kind == FaultPlan.Kind.ENTRY_DEATH) {
            replace(fault.slot)
            return
        }
        active += fault
        applyFaults()
        delay(fault.untilMillis - clock.nowMillis())
        active -= fault
        applyFaults()
    }

    private fun applyFaults() {
        val kinds = active.map { it.kind }.toSet()
        store.faults =
            StoreFaults(
                outage = FaultPlan.Kind.STORE_OUTAGE in kinds,
                latencyMillis = if (FaultPlan.Kind.STORE_SLOW in kinds) SLOW_MILLIS else NORMAL_MILLIS,
                lostAnswerProbability = if (FaultPlan.Kind.LOST_ANSWERS in kinds) LOSS else 0.0,
                lateWriteProbability = if (FaultPlan.Kind.LATE_WRITES in kinds) LOSS else 0.0,
                staleMillis = if (FaultPlan.Kind.STALE_READS in kinds) STALE_MILLIS else 0,
            )
        val cutZones = active.filter { it.kind == FaultPlan.Kind.ZONE_CUT }.map { it.slot % ZONES }
        clients.forEach { (entry, client) ->
            client.faults = StoreFaults(outage = entry.slot % ZONES in cutZones, latencyMillis = 0)
        }
    }

    private suspend fun replace(slot: Int) {
        val dead = slots[slot] ?: return
        slots[slot] = null
        dead.die()
        clients -= dead
        delay(LIST_LAG_MILLIS)
        live -= dead.id
        delay(REPLACEMENT_MILLIS)
        start(slot)
    }

    private fun start(slot: Int) {
        val entry = EntryModel(InstanceId("e$slot.${incarnations++}"), slot, scope)
        clients[entry] = store.client()
        live += entry.id
        entry.runner = CallRunner(desk.of(entry), placement(entry), retries, claims(entry), clock, entry.scope) { it }
        slots[slot] = entry
        applyFaults()
    }

    private fun claims(entry: EntryModel): Claims {
        val api = entry.reach(clients.getValue(entry))
        return when (policy) {
            Policy.NO_CLAIMS -> NoClaims()
            Policy.NO_READ_BACK -> ClaimsWithoutReadBack(api, entry.id) { it in live }
            Policy.OWN -> {
                val registry =
                    ClaimRegistry(api, entry.id, clock, { it in live }, { "${entry.id}-${claimIds++}" }, claimPolicy)
                entry.scope.launch { registry.retryPendingWrites() }
                OwnClaims(registry)
            }
        }
    }

    private fun placement(entry: EntryModel) =
        object : Placement {
            override suspend fun place(
                demand: Demand,
                avoided: Set<InstanceId>,
            ): Either<Failure, PlacedRequest> {
                val local = replicas[entry.slot % ZONES]
                val replica = local.takeIf { it.id !in avoided } ?: replicas.firstOrNull { it.id !in avoided } ?: local
                return Room(replica).right()
            }
        }

    private class Room(
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
        const val NORMAL_MILLIS = 4L
        const val SLOW_MILLIS = 800L
        const val STALE_MILLIS = 2_000L
        const val LOSS = 0.4
        const val LIST_LAG_MILLIS = 3_000L

        // Six instances may settle their backlog faster than 340.
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
