package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.ServiceDocument.ColdStartPolicy

/** The admission policy of one entry instance in a [GrantSimulation], which delivers its messages. */
internal interface GrantPolicy {
    fun tick(
        view: GrantView,
        granting: InstanceId,
        nowMillis: Long,
    )

    fun report(
        report: LoadReport,
        nowMillis: Long,
    )

    /** Returns whether the request of [reservation] may be dispatched without asking another instance. */
    fun admitLocally(
        reservation: Reservation,
        nowMillis: Long,
    ): Boolean

    /** Asks for capacity; [onGranted] runs when the request may be dispatched. */
    fun ask(
        reservation: Reservation,
        nowMillis: Long,
        onGranted: (Long) -> Unit,
    )

    fun finished(
        reservation: Reservation,
        nowMillis: Long,
    )
}

/** Each instance admits against the capacity divided by the number of live instances that it knows. */
internal class EvenSplitPolicy(
    private val simulation: GrantSimulation,
) : GrantPolicy {
    private var memberCount = 1
    private var used = 0L

    override fun tick(
        view: GrantView,
        granting: InstanceId,
        nowMillis: Long,
    ) {
        memberCount = simulation.memberCount(view)
    }

    override fun report(
        report: LoadReport,
        nowMillis: Long,
    ) = Unit

    override fun admitLocally(
        reservation: Reservation,
        nowMillis: Long,
    ): Boolean {
        if (used + reservation.capacity.tokens > GrantSimulation.CAPACITY / memberCount) return false
        used += reservation.capacity.tokens
        return true
    }

    override fun ask(
        reservation: Reservation,
        nowMillis: Long,
        onGranted: (Long) -> Unit,
    ) = Unit

    override fun finished(
        reservation: Reservation,
        nowMillis: Long,
    ) {
        used -= reservation.capacity.tokens
    }
}

/** Registered shares without credits: a disconnected member admits from its share although the ledger counts it too. */
internal class RegisteredSharePolicy(
    private val simulation: GrantSimulation,
    private val self: InstanceId,
) : GrantPolicy {
    private val registered = HashMap<InstanceId, Long>()
    private val reserved = HashMap<Reservation, InstanceId>()
    private val own = HashSet<Reservation>()
    private var view = GrantView(false, setOf(self), false)
    private var granting = self
    private var lastAnswerMillis = 0L
    private var nextHeartbeatMillis = 0L

    override fun tick(
        view: GrantView,
        granting: InstanceId,
        nowMillis: Long,
    ) {
        this.view = view
        this.granting = granting
        if (nowMillis < nextHeartbeatMillis) return
        nextHeartbeatMillis = nowMillis + 1_000
        val outstanding = own.toList()
        simulation.send(self, granting) { now ->
            val ledger = simulation.policyOf(granting) as RegisteredSharePolicy
            ledger.registered[self] = now
            outstanding.forEach { ledger.reserved[it] = self }
            simulation.send(granting, self) { lastAnswerMillis = it }
        }
    }

    override fun report(
        report: LoadReport,
        nowMillis: Long,
    ) = Unit

    override fun admitLocally(
        reservation: Reservation,
        nowMillis: Long,
    ): Boolean {
        val isAlone = nowMillis - lastAnswerMillis > 3_000
        val used = own.sumOf { it.capacity.tokens }
        if (!isAlone || used + reservation.capacity.tokens > GrantSimulation.CAPACITY / view.members.size) return false
        return own.add(reservation)
    }

    override fun ask(
        reservation: Reservation,
        nowMillis: Long,
        onGranted: (Long) -> Unit,
    ) {
        val receiver = granting
        simulation.send(self, receiver) { now ->
            val isGranted = (simulation.policyOf(receiver) as RegisteredSharePolicy).reserve(self, reservation, now)
            simulation.send(receiver, self) { answered ->
                if (isGranted && own.add(reservation)) onGranted(answered)
            }
        }
    }

    private fun reserve(
        instance: InstanceId,
        reservation: Reservation,
        nowMillis: Long,
    ): Boolean {
        registered.values.removeIf { nowMillis - it > 2_000 }
        val bound = GrantSimulation.CAPACITY * registered.size.coerceAtMost(view.members.size) / view.members.size
        val fits = reserved.keys.sumOf { it.capacity.tokens } + reservation.capacity.tokens <= bound
        if (fits) reserved[reservation] = instance
        return fits
    }

    override fun finished(
        reservation: Reservation,
        nowMillis: Long,
    ) {
        own -= reservation
        simulation.send(self, granting) {
            (simulation.policyOf(granting) as RegisteredSharePolicy).reserved -=
                reservation
        }
    }
}

/** The policy under test: [GrantLedger] and [GrantClient]. */
internal class LedgerPolicy(
    private val simulation: GrantSimulation,
    private val self: InstanceId,
) : GrantPolicy {
    private val settings = GrantSettings()
    private val ledger = GrantLedger(InstanceId("replica"), self, WARM, settings = settings)
    private val client = GrantClient(self, settings)
    private var nextHeartbeatMillis = 0L

    override fun tick(
        view: GrantView,
        granting: InstanceId,
        nowMillis: Long,
    ) {
        ledger.update(view, false, nowMillis)
        if (nowMillis < nextHeartbeatMillis) return
        nextHeartbeatMillis = nowMillis + 1_000
        val (receiver, heartbeat) = client.nextHeartbeat(granting, nowMillis, ledger.inheritance(nowMillis))
        simulation.send(self, receiver) { now ->
            val answer = (simulation.policyOf(receiver) as LedgerPolicy).ledger.heartbeat(heartbeat, now)
            simulation.send(receiver, self) { answered ->
                client.onAnswer(receiver, answer, answered)
                if (heartbeat.echo == 0L) nextHeartbeatMillis = answered
            }
        }
    }

    override fun report(
        report: LoadReport,
        nowMillis: Long,
    ) = ledger.report(report, nowMillis)

    override fun admitLocally(
        reservation: Reservation,
        nowMillis: Long,
    ): Boolean = client.admitFromCredit(reservation, client.state?.startId ?: "", nowMillis)

    override fun ask(
        reservation: Reservation,
        nowMillis: Long,
        onGranted: (Long) -> Unit,
    ) {
        val receiver = client.grantingInstance(nowMillis) ?: return
        val ticket = client.issueTicket(reservation.request, nowMillis) ?: return
        simulation.send(self, receiver) { now ->
            val remote = (simulation.policyOf(receiver) as LedgerPolicy).ledger
            val result = remote.reserve(self, reservation, now)
            simulation.send(
                receiver,
                self,
            ) { answered -> applyResult(result, reservation, ticket, answered, onGranted) }
        }
    }

    private fun applyResult(
        result: ReserveResult,
        reservation: Reservation,
        ticket: GrantTicket,
        nowMillis: Long,
        onGranted: (Long) -> Unit,
    ) {
        if (result != ReserveResult.GRANTED) return client.onRefused(reservation.request)
        if (client.acceptGrant(reservation, ticket, nowMillis)) onGranted(nowMillis)
    }

    override fun finished(
        reservation: Reservation,
        nowMillis: Long,
    ) {
        val receiver = client.onFinished(reservation.request) ?: return
        simulation.send(self, receiver) {
            (simulation.policyOf(receiver) as LedgerPolicy).ledger.release(self, reservation.request)
        }
    }

    private companion object {
        val WARM = ColdStartPolicy(initialConcurrent = 1_000)
    }
}
