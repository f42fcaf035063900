/*
 * Replicas that crash when they begin an answer to a prompt with certain parts, and callers that send such requests
 * among sound ones to all instances. A crash ends all connections to the replica; another one starts in its place.
 */
package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.PartCrashMeter
import io.sequoiawheel.standin.platform.ReceivedRequest
import io.sequoiawheel.standin.platform.ReplicaAnswer
import io.sequoiawheel.standin.platform.ReplicaStandIn
import java.util.Random
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * @param crashingParts parts on which every replica crashes
 * @param sites number of replicas that run at a time
 */
internal class CrashingReplicas(
    private val fixture: RelayFixture,
    @Volatile var crashingParts: Set<String>,
    private val sites: Int = 12,
) : AutoCloseable {
    private val startNanos = System.nanoTime()
    private val timer = Executors.newScheduledThreadPool(2)
    private val callers = Executors.newCachedThreadPool()
    private val random = Random(SEED)
    private val starts = AtomicInteger()
    private val current = ConcurrentHashMap<Int, Pair<String, ReplicaStandIn>>()

    val meter = PartCrashMeter { nowMillis() }

    fun nowMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)

    fun start() = repeat(sites, ::startReplica)

    /** Sends a request to one of [fleet] every [INTERVAL_MILLIS] for [millis] milliseconds; every third one crashes. */
    fun call(
        fleet: () -> List<RelayDaemon>,
        millis: Long,
    ) {
        val end = nowMillis() + millis
        var number = 0
        while (nowMillis() < end) {
            val parts = crashingParts.toList()
            val crashing =
                if (number % CRASHING_SHARE == 0 &&
                    parts.isNotEmpty()
                ) {
                    parts[random.nextInt(parts.size)]
                } else {
                    null
                }
            val instances = fleet()
            val instance = instances[random.nextInt(instances.size)]
            val id = "id-${nowMillis()}-${number++}"
            val path = if (random.nextBoolean()) "/resumable/a" else "/stream/a"
            val prompt = "$FIRST_PART:79,${crashing ?: SOUND_PARTS[
                random.nextInt(
                    SOUND_PARTS.size,
                ),
            ]}:80,${"%x".format(number)}:900"
            callers.execute { send(instance, id, path, prompt, isSound = crashing == null) }
            Thread.sleep(INTERVAL_MILLIS)
        }
    }

    override fun close() {
        timer.shutdownNow()
        callers.shutdown()
        callers.awaitTermination(PATIENCE_SECONDS, TimeUnit.SECONDS)
        current.values.forEach { it.second.close() }
    }

    private fun send(
        instance: RelayDaemon,
        id: String,
        path: String,
        prompt: String,
        isSound: Boolean,
    ) {
        val sentMillis = nowMillis()
        val extra = "X-Token-Usage: 1000,60\r\nX-Prefix-Hash: $prompt\r\n"
        val response = runCatching { fixture.send(fixture.request(path, id, extra = extra), instance) }.getOrDefault("")
        if (isSound) {
            meter.recordSound(
                sentMillis,
                response.startsWith("HTTP/1.1 200") && response.endsWith("0\r\n\r\n"),
            )
        }
    }

    private fun startReplica(site: Int) {
        val id = "e-$site-${starts.incrementAndGet()}"
        val replica =
            fixture.replica(id, RelayFixture.ENGINE) { request, answer -> handle(site, request, answer) }
        current[site] = id to replica
    }

    private fun handle(
        site: Int,
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ) {
        val parts =
            request
                .header("X-Prefix-Hash")
                .orEmpty()
                .split(',')
                .dropLast(1)
                .map { it.substringBefore(':') }
        val crashing = parts.firstOrNull { it in crashingParts }
        crashing?.let { meter.recordSend(it, instance = "") }
        Thread.sleep(PREFILL_MILLIS)
        answer.startStream(request)
        val first = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
        for (event in first..EVENTS) {
            Thread.sleep(EVENT_MILLIS)
            if (crashing != null && event >= first + 1) {
                meter.recordCrash(crashing)
                crash(site)
                return
            }
            answer.sendEvent(event)
        }
        answer.endStream()
    }

    private fun crash(site: Int) {
        val (id, replica) = current.remove(site) ?: return
        replica.close()
        timer.schedule({ fixture.store.remove("servers", id) }, REMOVAL_MILLIS, TimeUnit.MILLISECONDS)
        timer.schedule({ startReplica(site) }, RETURN_MILLIS, TimeUnit.MILLISECONDS)
    }

    companion object {
        /** Part that all requests share. */
        const val FIRST_PART = "a0"
        private val SOUND_PARTS = (1..6).map { "b$it" }
        private const val SEED = 4L
        private const val INTERVAL_MILLIS = 60L
        private const val CRASHING_SHARE = 3
        private const val PREFILL_MILLIS = 120L
        private const val EVENT_MILLIS = 30L
        private const val EVENTS = 6
        private const val REMOVAL_MILLIS = 1_500L
        private const val RETURN_MILLIS = 2_500L
        private const val PATIENCE_SECONDS = 10L
    }
}
