/*
 * A simulation in virtual time of instances that send generations to replicas, which crash when they begin an answer to
 * certain prompt parts. The instances run the product's quarantine and load exchange, and send lost requests again by
 * the rules of the relay. The network delays and loses datagrams; replicas also end for other reasons; instances can
 * restart and be cut off.
 */
package io.sequoiawheel.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.quarantine.Incarnation
import io.sequoiawheel.core.quarantine.PartQuarantine
import io.sequoiawheel.core.quarantine.PromptPart
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.LoadExchange
import io.sequoiawheel.core.relay.Peer
import io.sequoiawheel.core.relay.PeerMessage
import io.sequoiawheel.standin.platform.PartCrashMeter
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource

/**
 * @param instances number of instances that start at once; later ones start as new incarnations of these
 * @param requestsPerSecond sound requests of all instances together
 * @param lossShare share of the datagrams between instances that are lost
 */
internal class CrashingFleet(
    instances: Int,
    private val zones: Int = 3,
    private val replicaCount: Int = 12,
    var requestsPerSecond: Double = 12.0,
    private val lossShare: Double = 0.05,
    seed: Long,
) {
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val events = EventQueue()

    val nowMillis: Long get() = events.nowMillis

    /** Parts on which every replica crashes. */
    var crashingParts: List<String> = emptyList()

    /** Requests with a crashing part per second, of all instances together. */
    var crashingPerSecond = 4.0

    /** Mean time between ends of replicas for other reasons, or 0 for none. */
    var otherEndMillis = 0L

    /** Number of different second parts of sound prompts; the first part is the same in all prompts. */
    var soundParts = 6

    /** Whether prompts of crashing requests consist of nothing but a crashing part before their own part. */
    var crashingPartIsFirst = false

    /** Whether a datagram between two instances is lost. */
    var isCut: (Instance, Instance) -> Boolean = { _, _ -> false }

    val meter = PartCrashMeter { nowMillis }
    private val replicas = List(replicaCount, ::SimulatedReplica)
    val all = List(instances) { Instance("entry-%03d".format(it), ZoneName("zone-${it % zones}")) }

    /** Largest load message in bytes. */
    var largestMessageBytes = 0
        private set

    class Request(
        val parts: Set<PromptPart>,
        val crashing: String?,
        val isRepeatable: Boolean,
        val sentMillis: Long,
        val writesMillis: Long,
    ) {
        var runs = 0
    }

    /** One run of a request on a replica. */
    inner class Attempt(
        val request: Request,
        val instance: Instance,
        val incarnationOfInstance: Int,
    ) {
        var begunMillis: Long? = null
    }

    private inner class SimulatedReplica(
        val site: Int,
    ) {
        private var starts = 1
        var isUp = true
        val attempts = LinkedHashSet<Attempt>()
        val incarnation get() = Incarnation("replica-$site-$starts", startedAtMillis = 1L)

        fun end() {
            if (!isUp) return
            isUp = false
            val ended = incarnation
            val lost = attempts.toList()
            attempts.clear()
            lost.forEach { attempt ->
                events.schedule(1L + random.nextInt(NETWORK_MILLIS)) { attempt.instance.onLost(attempt, ended) }
            }
            events.schedule(RETURN_MILLIS + random.nextInt(RETURN_SPREAD_MILLIS)) {
                starts++
                isUp = true
            }
        }
    }

    inner class Instance(
        val name: String,
        val zone: ZoneName,
    ) {
        val peer = Peer(name, zone, Endpoint(name, 1))
        private val clock = Clock { nowMillis }
        lateinit var quarantine: PartQuarantine
        private lateinit var exchange: LoadExchange
        private var incarnation = 0
        private var readyMillis = 0L

        init {
            begin()
        }

        /** Ends the instance with all that it knows, and starts it again; it takes requests after a while. */
        fun restart() {
            readyMillis = nowMillis + START_MILLIS
            meter.excuse(name, readyMillis - START_MILLIS)
            begin()
            exchange.addListedPeers(all.map { it.peer })
        }

        private fun begin() {
            incarnation++
            quarantine = PartQuarantine(name, clock)
            exchange = LoadExchange(peer, start = nowMillis + 1, clock, quarantine)
        }

        fun join() = exchange.addListedPeers(all.map { it.peer })

        fun tick() =
            exchange.tick(emptyMap()).forEach { outgoing ->
                outgoing.destinations.forEach { send(it, outgoing.message) }
            }

        private fun send(
            destination: Endpoint,
            message: PeerMessage,
        ) {
            val receiver = all.firstOrNull { it.peer.endpoint == destination } ?: return
            if (random.nextDouble() < lossShare || isCut(this, receiver)) return
            val text = message.encode()
            largestMessageBytes = maxOf(largestMessageBytes, text.length)
            events.schedule(1L + random.nextInt(NETWORK_MILLIS)) { receiver.receive(PeerMessage.decode(text)) }
        }

        private fun receive(message: PeerMessage) =
            exchange.receive(message).forEach { forwarded ->
                forwarded.destinations.forEach { send(it, forwarded.message) }
            }

        val isReady get() = nowMillis >= readyMillis

        /** Sends [request] to a replica, unless a part of its prompt is quarantined or no replica is up. */
        fun serve(request: Request) {
            val open = replicas.filter { it.isUp }
            if (quarantine.blocking(request.parts) != null) quarantine.recordRefusal(request.parts)
            if (open.isEmpty() || !quarantine.tryAdmit(request.parts)) return finish(request, isServed = false)
            val replica = open[random.nextInt(open.size)]
            request.crashing?.let { meter.recordSend(it, name) }
            val attempt = Attempt(request, this, incarnation)
            replica.attempts += attempt
            request.runs++
            events.schedule(PREFILL_MILLIS + random.nextInt(PREFILL_SPREAD_MILLIS)) { write(attempt, replica) }
        }

        private fun write(
            attempt: Attempt,
            replica: SimulatedReplica,
        ) {
            if (attempt !in replica.attempts) return
            attempt.begunMillis = nowMillis
            quarantine.recordLife(replica.incarnation)
            val crashing = attempt.request.crashing?.takeIf { it in crashingParts }
            if (crashing != null) {
                events.schedule(
                    CRASH_MILLIS + random.nextInt(CRASH_SPREAD_MILLIS),
                ) { crash(attempt, replica, crashing) }
                return
            }
            val soundAfterMillis = PartQuarantine.SURVIVAL_MILLIS
            if (attempt.request.writesMillis > soundAfterMillis) {
                events.schedule(soundAfterMillis) { if (attempt in replica.attempts) recordSound(attempt) }
            }
            events.schedule(attempt.request.writesMillis) {
                if (replica.attempts.remove(attempt)) {
                    recordSound(attempt)
                    finish(attempt.request, isServed = true)
                }
            }
        }

        private fun crash(
            attempt: Attempt,
            replica: SimulatedReplica,
            part: String,
        ) {
            if (attempt !in replica.attempts) return
            meter.recordCrash(part)
            replica.end()
        }

        private fun recordSound(attempt: Attempt) {
            if (attempt.incarnationOfInstance != incarnation) return
            attempt.begunMillis?.let { quarantine.recordSurvival(attempt.request.parts, it) }
        }

        fun onLost(
            lost: Attempt,
            ended: Incarnation,
        ) {
            if (lost.incarnationOfInstance != incarnation) return
            quarantine.recordLoss(ended, lost.request.parts, lost.begunMillis)
            val request = lost.request
            val isSuspected = quarantine.blocking(request.parts) != null || quarantine.isSuspected(request.parts)
            val isSentAgain = request.isRepeatable && request.runs < MAXIMUM_RUNS && !isSuspected
            if (isSentAgain) serve(request) else finish(request, isServed = false)
        }

        private fun finish(
            request: Request,
            isServed: Boolean,
        ) {
            if (request.crashing == null) {
                meter.recordSound(request.sentMillis, isServed, isFirstAttempt = isServed && request.runs == 1)
            }
        }
    }

    init {
        all.forEach { it.join() }
    }

    fun run(millis: Long) {
        val end = nowMillis + millis
        while (nowMillis < end) {
            events.advance()
            all.forEachIndexed { index, instance -> if ((nowMillis - index) % TICK_MILLIS == 0L) instance.tick() }
            repeat(arrivals(requestsPerSecond)) { arrive(crashing = null) }
            if (crashingParts.isNotEmpty()) {
                repeat(arrivals(crashingPerSecond)) { arrive(crashingParts[random.nextInt(crashingParts.size)]) }
            }
            if (otherEndMillis > 0 &&
                random.nextDouble() * otherEndMillis < 1
            ) {
                replicas[random.nextInt(replicaCount)].end()
            }
            events.runDue()
        }
    }

    /** Ends [count] replicas at one moment, for a reason of their own. */
    fun endReplicas(count: Int) = replicas.take(count).forEach { it.end() }

    /** Sends a sound request with a second part of its own, [part], from the instance [number]. */
    fun request(
        part: String,
        number: Int,
    ) = all[number].serve(newRequest(listOf(FIRST_PART, part), crashing = null))

    private fun arrive(crashing: String?) {
        val ready = all.filter { it.isReady }
        if (ready.isEmpty()) return
        val second = crashing ?: "b${random.nextInt(soundParts)}"
        val parts = if (crashing != null && crashingPartIsFirst) listOf(crashing) else listOf(FIRST_PART, second)
        ready[random.nextInt(ready.size)].serve(newRequest(parts, crashing))
    }

    private fun newRequest(
        parts: List<String>,
        crashing: String?,
    ): Request {
        val isLong = random.nextInt(10) < LONG_SHARE
        val writesMillis = if (isLong) LONG_MILLIS + random.nextInt(LONG_SPREAD_MILLIS) else SHORT_MILLIS
        return Request(
            parts.mapTo(LinkedHashSet(), ::PromptPart),
            crashing,
            isRepeatable = !isLong,
            nowMillis,
            writesMillis,
        )
    }

    private fun arrivals(perSecond: Double): Int {
        val due = perSecond / MILLIS_PER_SECOND
        return due.toInt() + if (random.nextDouble() < due - due.toInt()) 1 else 0
    }

    companion object {
        /** Part that all prompts share. */
        const val FIRST_PART = "a0"
        private const val TICK_MILLIS = 100L
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val NETWORK_MILLIS = 20
        private const val PREFILL_MILLIS = 150L
        private const val PREFILL_SPREAD_MILLIS = 450
        private const val CRASH_MILLIS = 60L
        private const val CRASH_SPREAD_MILLIS = 60
        private const val RETURN_MILLIS = 2_000L
        private const val RETURN_SPREAD_MILLIS = 2_000
        private const val START_MILLIS = 1_500L
        private const val SHORT_MILLIS = 110L
        private const val LONG_MILLIS = 3_000L
        private const val LONG_SPREAD_MILLIS = 4_000
        private const val LONG_SHARE = 4
        private const val MAXIMUM_RUNS = 3
    }
}
