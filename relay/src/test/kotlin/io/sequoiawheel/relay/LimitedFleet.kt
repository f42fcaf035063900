/*
 * A simulation in virtual time of instances that send calls to replicas, some of which name a request limit. The
 * instances run the product's placement, limiter and load exchange. The network delays, reorders and loses datagrams;
 * instances can start late, leave, freeze, restart and be cut off from the others.
 */
package io.sequoiawheel.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.InFlightBound
import io.sequoiawheel.core.relay.LoadExchange
import io.sequoiawheel.core.relay.OverflowLimiter
import io.sequoiawheel.core.relay.Peer
import io.sequoiawheel.core.relay.PeerMessage
import io.sequoiawheel.core.relay.Placement
import io.sequoiawheel.core.relay.RelayService
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.ReplicaDirectory
import io.sequoiawheel.core.relay.ReplicaEntry
import io.sequoiawheel.core.relay.ReplicaPlacement
import io.sequoiawheel.core.relay.ReplicaSelection
import io.sequoiawheel.core.relay.RequestLimiter
import io.sequoiawheel.platform.Headers
import io.sequoiawheel.platform.ReplicaNotice
import io.sequoiawheel.platform.RequestLimitNotice
import io.sequoiawheel.standin.platform.RequestLimitMeter
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource

/**
 * @param instances number of instances that start at once; [add] starts more
 * @param replicas number of replicas of the service, each with [SLOTS] slots
 * @param callsPerSecond calls of all instances together
 * @param isLimiting whether instances use the limits that replicas name; without, the twin that must break the bound
 * @param skew how unevenly calls are spread over the instances: 1 for evenly, above for more to the first
 */
internal class LimitedFleet(
    instances: Int,
    private val zones: Int = 3,
    replicas: Int = 3,
    var callsPerSecond: Double = 60.0,
    private val isLimiting: Boolean = true,
    private val skew: Double = 2.0,
    private val lossShare: Double = 0.05,
    seed: Long = 7L,
) {
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val events = EventQueue()
    private val service = RelayService(ServiceName("desk"), "/healthz", 100, 0.0, 0.0, null)
    private var nextInstance = 0

    val nowMillis: Long get() = events.nowMillis

    /** Longest delay of a datagram between instances. */
    var maximumDelayMillis = 20

    /** Whether a datagram between two instances is lost. */
    var isCut: (Instance, Instance) -> Boolean = { _, _ -> false }

    val replicas = List(replicas) { LimitedReplica("replica-$it") }
    val all = ArrayList<Instance>()
    var served = 0
    var deferred = 0

    /** A replica that executes [SLOTS] calls at a time, queues the others, and names [limit] in its answers. */
    inner class LimitedReplica(
        val id: String,
    ) {
        val meter = RequestLimitMeter { nowMillis }
        private val slotFreeMillis = LongArray(SLOTS)

        /** Longest time from the arrival of a call to its answer. */
        var longestMillis = 0L

        var limit: String? = null
            set(value) {
                field = value
                val notice = RequestLimitNotice.decode(listOfNotNull(value))
                if (notice !is RequestLimitNotice.Unreadable) {
                    meter.recordLimit((notice as? RequestLimitNotice.Limited)?.perSecond)
                }
            }

        /** Queues a call and returns the time until its answer. */
        fun execute(): Long {
            val slot = slotFreeMillis.indices.minBy { slotFreeMillis[it] }
            val workMillis = RESPONSE_MILLIS + random.nextInt(RESPONSE_MILLIS.toInt())
            slotFreeMillis[slot] = maxOf(slotFreeMillis[slot], nowMillis) + workMillis
            return (slotFreeMillis[slot] - nowMillis).also { longestMillis = maxOf(longestMillis, it) }
        }

        val entry =
            ReplicaEntry(InstanceId(id), service.name, "h", 1, ZoneName("zone-0"), SLOTS, false, 0, startedAtMillis = 1)
    }

    /** One instance; [restart] begins a new incarnation that knows nothing. */
    inner class Instance(
        val name: String,
        val zone: ZoneName,
    ) {
        val peer = Peer(name, zone, Endpoint(name, 1))
        private val clock = Clock { nowMillis }
        lateinit var exchange: LoadExchange
        lateinit var directory: ReplicaDirectory
        private lateinit var limiter: RequestLimiter
        private lateinit var overflow: OverflowLimiter
        private lateinit var placement: ReplicaPlacement
        private var incarnation = 0L
        var frozenUntilMillis = 0L
            private set
        val isFrozen get() = nowMillis < frozenUntilMillis
        private val held = ArrayList<PeerMessage>()

        init {
            restart()
        }

        fun restart() {
            incarnation++
            replicas.forEach { it.meter.excuse(name) }
            exchange = LoadExchange(peer, start = nowMillis + 1, clock)
            directory = ReplicaDirectory(clock)
            replicas.forEach { directory.put(it.entry) }
            limiter = RequestLimiter(exchange)
            overflow = OverflowLimiter(exchange)
            placement =
                ReplicaPlacement(
                    ReplicaSelection(zone, random),
                    random,
                    limiter,
                    overflow,
                    InFlightBound(exchange),
                ) { _, _ ->
                    true
                }
            exchange.addListedPeers(all.map { it.peer })
        }

        /** Freezes the instance; its clock goes on, and what it receives waits. */
        fun freeze(millis: Long) {
            frozenUntilMillis = nowMillis + millis
            replicas.forEach { it.meter.excuse(name) }
        }

        /** Shuts the instance down: it announces this to the others and takes no more calls. */
        fun leave() {
            val message = exchange.leave()
            message.destinations.forEach { send(it, message.message) }
            all -= this
        }

        fun tick() {
            if (isFrozen) return
            held.forEach(::process)
            held.clear()
            exchange.apply(directory.all())
            if (isLimiting) directory.applyReportedLimits(exchange.limitsReportedByPeers)
            val work = LoadExchange.work(directory.all())
            exchange.tick(work, emptyMap(), directory.observedLimits()).forEach { outgoing ->
                outgoing.destinations.forEach { send(it, outgoing.message) }
            }
        }

        fun receive(message: PeerMessage) {
            if (isFrozen) held += message else process(message)
        }

        private fun process(message: PeerMessage) =
            exchange.receive(PeerMessage.decode(message.encode())).forEach { forwarded ->
                forwarded.destinations.forEach { send(it, forwarded.message) }
            }

        private fun send(
            destination: Endpoint,
            message: PeerMessage,
        ) {
            val receiver = all.firstOrNull { it.peer.endpoint == destination } ?: return
            if (random.nextDouble() < lossShare || isCut(this, receiver)) return
            events.schedule(1L + random.nextInt(maximumDelayMillis)) { receiver.receive(message) }
        }

        fun call() {
            if (isFrozen) return
            val placed = placement.forCall(directory.usable(service.name), emptySet(), true, service)
            val chosen = (placed as? Placement.Assigned)?.replica
            if (chosen == null || !limiter.tryAdmit(chosen)) {
                deferred++
                return
            }
            val target = replicas.single { it.id == chosen.entry.id.value }
            val sentAtMillis = nowMillis
            val sender = incarnation
            chosen.load.begin(0)
            target.meter.recordRequest(name)
            served++
            events.schedule(target.execute()) {
                if (sender != incarnation) return@schedule
                chosen.load.end(0)
                chosen.load.recordResponseTime(nowMillis - sentAtMillis)
                overflow.recordCall(chosen, nowMillis - sentAtMillis, OBJECTIVE_MILLIS)
                val header = listOfNotNull(target.limit)
                val notice = ReplicaNotice.decode(OK) { if (it == Headers.REQUEST_LIMIT) header else emptyList() }
                if (isLimiting) apply(notice.requestLimit, chosen, sentAtMillis)
                target.meter.recordResponse(name)
            }
        }

        private fun apply(
            notice: RequestLimitNotice,
            replica: Replica,
            sentAtMillis: Long,
        ) = when (notice) {
            is RequestLimitNotice.Limited -> replica.requestLimit.name(notice.perSecond)
            is RequestLimitNotice.None -> replica.requestLimit.omit(sentAtMillis)
            is RequestLimitNotice.Unreadable -> Unit
        }
    }

    init {
        repeat(instances) { add() }
        all.forEach { member -> member.exchange.addListedPeers(all.map { it.peer }) }
    }

    /** Starts an instance, which reads the others from the store; they learn of it by its first message. */
    fun add(): Instance {
        val number = nextInstance++
        return Instance("entry-%03d".format(number), ZoneName("zone-${number % zones}")).also { all += it }
    }

    fun run(millis: Long) {
        val end = nowMillis + millis
        while (nowMillis < end) {
            events.advance()
            all.forEachIndexed { index, instance ->
                if (nowMillis % TICK_MILLIS ==
                    index % TICK_MILLIS
                ) {
                    instance.tick()
                }
            }
            var due = callsPerSecond / MILLIS_PER_SECOND
            while (random.nextDouble() < due) {
                caller().call()
                due--
            }
            events.runDue()
        }
    }

    private fun caller(): Instance = all[(Math.pow(random.nextDouble(), skew) * all.size).toInt()]

    companion object {
        const val SLOTS = 6
        const val RESPONSE_MILLIS = 30L

        /** The latency objective of the calls. */
        const val OBJECTIVE_MILLIS = 150L
        private const val TICK_MILLIS = 100L
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val OK = 200
    }
}
