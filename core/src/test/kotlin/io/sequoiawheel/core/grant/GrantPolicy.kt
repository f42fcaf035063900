package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.ServiceDocument.ColdStartPolicy

/** What one entry instance of a [GrantWorld] decides. Messages are delivered by the world. */
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

    /** Returns whether [reservation] may be sent at once, without asking anybody. */
    fun admitAlone(
        reservation: Reservation,
        nowMillis: Long,
    ): Boolean

    /** Sends a request for room; [onGranted] runs when the request may be dispatched. */
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

/** Each instance admits against capacity divided by the live instances that it knows. */
internal class NaiveSplit(
    private val world: GrantWorld,
) : GrantPolicy {
    private var count = 1
    private var used = 0L

    override fun tick(
        view: GrantView,
        granting: InstanceId,
        nowMillis: Long,
    ) {
        count = world.listedBy(view)
    }

    override fun report(
        report: LoadReport,
        nowMillis: Long,
    ) = Unit

    override fun admitAlone(
        reservation: Reservation,
        nowMillis: Long,
    ): Boolean {
        if (used + reservation.room.tokens > GrantWorld.CAPACITY / count) return false
        used += reservation.room.tokens
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
        used -= reservation.room.tokens
    }
}

/** Registered shares without credits: a member that loses contact counts its share again after the term. */
internal class RegisteredShares(
    private val world: GrantWorld,
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
        world.send(self, granting) { now ->
            val ledger = world.policyOf(granting) as RegisteredShares
            ledger.registered[self] = now
            outstanding.forEach { ledger.reserved[it] = self }
            world.send(granting, self) { lastAnswerMillis = it }
        }
    }

    override fun report(
        report: LoadReport,
        nowMillis: Long,
    ) = Unit

    override fun admitAlone(
        reservation: Reservation,
        nowMillis: Long,
    ): Boolean {
        val isAlone = nowMillis - lastAnswerMillis > 3_000
        val used = own.sumOf { it.room.tokens }
        if (!isAlone || used + reservation.room.tokens > GrantWorld.CAPACITY / view.members.size) return false
        return own.add(reservation)
    }

    override fun ask(
        reservation: Reservation,
        nowMillis: Long,
        onGranted: (Long) -> Unit,
    ) {
        val receiver = granting
        world.send(self, receiver) { now ->
            val isGranted = (world.policyOf(receiver) as RegisteredShares).reserve(self, reservation, now)
            world.send(receiver, self) { answered ->
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
        val bound = GrantWorld.CAPACITY * registered.size.coerceAtMost(view.members.size) / view.members.size
        val fits = reserved.keys.sumOf { it.room.tokens } + reservation.room.tokens <= bound
        if (fits) reserved[reservation] = instance
        return fits
    }

    override fun finished(
        reservation: Reservation,
        nowMillis: Long,
    ) {
        own -= reservation
        world.send(self, granting) { (world.policyOf(granting) as RegisteredShares).reserved -= reservation }
    }
}

/** The scheme of this package. */
internal class LedgerAndClient(
    private val world: GrantWorld,
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
        world.send(self, receiver) { now ->
            val answer = (world.policyOf(receiver) as LedgerAndClient).ledger.heartbeat(heartbeat, now)
            world.send(receiver, self) { answered ->
                client.answered(receiver, answer, answered)
                if (heartbeat.echo == 0L) nextHeartbeatMillis = answered
            }
        }
    }

    override fun report(
        report: LoadReport,
        nowMillis: Long,
    ) = ledger.report(report, nowMillis)

    override fun admitAlone(
        reservation: Reservation,
        nowMillis: Long,
    ): Boolean = client.admitFromCredit(reservation, client.state?.startId ?: "", nowMillis)

    override fun ask(
        reservation: Reservation,
        nowMillis: Long,
        onGranted: (Long) -> Unit,
    ) {
        val receiver = client.granter(nowMillis) ?: return
        val ticket = client.ask(reservation.request, nowMillis) ?: return
        world.send(self, receiver) { now ->
            val remote = (world.policyOf(receiver) as LedgerAndClient).ledger
            val result = remote.reserve(self, reservation, now)
            world.send(receiver, self) { answered -> take(result, reservation, ticket, answered, onGranted) }
        }
    }

    private fun take(
        result: ReserveResult,
        reservation: Reservation,
        ticket: GrantTicket,
        nowMillis: Long,
        onGranted: (Long) -> Unit,
    ) {
        if (result != ReserveResult.GRANTED) return client.refused(reservation.request)
        if (client.granted(reservation, ticket, nowMillis)) onGranted(nowMillis)
    }

    override fun finished(
        reservation: Reservation,
        nowMillis: Long,
    ) {
        val receiver = client.finished(reservation.request) ?: return
        world.send(self, receiver) {
            (world.policyOf(receiver) as LedgerAndClient).ledger.release(self, reservation.request)
        }
    }

    private companion object {
        val WARM = ColdStartPolicy(initialConcurrent = 1_000)
    }
}
