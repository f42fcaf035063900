package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.ReceivedRequest
import io.sequoiawheel.standin.platform.ReplicaAnswer
import io.sequoiawheel.standin.platform.ReplicaStandIn
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.boolean
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/** How a stubborn engine ends the stream of a run on which it works on. */
enum class StreamEnd { NONE, SILENCE, RESET, INVALID_EVENT, NO_HEAD }

/** How a stubborn engine answers the request to stop a run. */
enum class StopConduct { PROMPT, LATE, BUSY_FIRST, REFUSED_FIRST, RESET_FIRST, NO_ROOM }

/** One run as its engine knows it; times in milliseconds of one clock. */
internal class StubbornRun(
    val engine: String,
    val isFirst: Boolean,
) {
    @Volatile
    var startedMillis = 0L

    @Volatile
    var workedMillis = 0L

    @Volatile
    var isStopped = false
}

/**
 * A relay with engines that work on a run after its connection closed, until they are asked to stop it. The runs end
 * their streams as [ends] says, in the order in which they start.
 */
internal class StubbornEngines(
    private val conduct: StopConduct,
    private val ends: List<StreamEnd>,
    private val drainedRuns: Set<Int>,
) : AutoCloseable {
    val relay = RelayFixture()
    val runs = CopyOnWriteArrayList<StubbornRun>()
    val releasedCopies = CopyOnWriteArrayList<String>()
    private val engines = ConcurrentHashMap<String, ReplicaStandIn>()
    private val refusals = AtomicInteger()

    fun start() {
        for (id in listOf("e-1", "e-2", "e-3", "e-4")) {
            engines[id] =
                relay.replica(id, RelayFixture.ENGINE) { request, answer ->
                    when {
                        request.target == "/v1/kv-move" -> move(id, request, answer)
                        request.method == "DELETE" -> {
                            releasedCopies += request.target
                            answer.sendComplete(request, "")
                        }
                        else -> generate(id, request, answer)
                    }
                }
        }
        relay.configure()
        relay.start()
        RelayFixture.awaitTrue("the share of the retry budget is known") { relay.daemon.knowsInstances }
    }

    private fun move(
        id: String,
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ) {
        val isLast =
            Json
                .parseToJsonElement(request.body)
                .jsonObject["last"]
                ?.jsonPrimitive
                ?.boolean ?: false
        val run = runs.lastOrNull { it.engine == id && !it.isStopped }
        if (run == null) return answer.sendComplete(request, "{}", "404 Not Found")
        if (!isLast) return answer.sendComplete(request, """{"session":"h-1","created":1}""")
        val isFirst = refusals.getAndIncrement() == 0
        when (conduct) {
            StopConduct.BUSY_FIRST -> if (isFirst) return answer.sendComplete(request, "{}", "409 Conflict")
            StopConduct.REFUSED_FIRST -> if (isFirst) return answer.sendNotExecuted(request)
            StopConduct.RESET_FIRST -> if (isFirst) return answer.reset()
            else -> Unit
        }
        run.isStopped = true
        if (conduct == StopConduct.LATE) Thread.sleep(LATE_MILLIS)
        val status = if (conduct == StopConduct.NO_ROOM) "503 Service Unavailable" else "200 OK"
        answer.sendComplete(request, """{"session":"h-2","created":1}""", status)
    }

    private fun generate(
        id: String,
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ) {
        val end = ends.getOrElse(runs.size) { StreamEnd.NONE }
        val isDrained = runs.size in drainedRuns
        val run = StubbornRun(id, isFirst = runs.isEmpty())
        runs += run
        val next = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
        var isRead = true
        run.startedMillis = nowMillis()
        for (event in next..LAST_EVENT) {
            if (run.isStopped) break
            run.workedMillis = nowMillis()
            if (isRead) isRead = stream(answer, request, event, event - next, end)
            if (isDrained && event - next == 2) drain(id)
            Thread.sleep(EVENT_MILLIS)
        }
        if (!isRead || run.isStopped) throw IOException("the stream is not read any more")
        answer.endStream()
    }

    /** Sends what is due of the stream at [event], the [index]th of the run. Returns whether it is still read. */
    private fun stream(
        answer: ReplicaAnswer,
        request: ReceivedRequest,
        event: Int,
        index: Int,
        end: StreamEnd,
    ): Boolean {
        try {
            if (end == StreamEnd.NO_HEAD) return false.also { answer.reset() }
            if (index == 0) answer.startStream(request)
            if (index < EVENTS_BEFORE_END || end == StreamEnd.NONE) {
                answer.sendEvent(event)
                return true
            }
            when (end) {
                StreamEnd.RESET -> answer.reset()
                StreamEnd.INVALID_EVENT -> answer.sendEvent(event + SKIPPED_EVENTS)
                else -> return true
            }
            return false
        } catch (closed: IOException) {
            return false
        }
    }

    private fun drain(id: String) = relay.register(id, RelayFixture.ENGINE, engines.getValue(id), state = "draining")

    /**
     * Returns for how many milliseconds at most two engines worked on the generation at the same time.
     */
    fun longestOverlapMillis(): Long {
        val pairs = runs.flatMap { one -> runs.filter { it !== one && it.engine != one.engine }.map { one to it } }
        return pairs.maxOfOrNull { (one, other) ->
            minOf(one.workedMillis, other.workedMillis) - maxOf(one.startedMillis, other.startedMillis)
        } ?: 0
    }

    override fun close() = relay.close()

    private fun nowMillis() = System.nanoTime() / NANOS_PER_MILLI

    companion object {
        /** A whole run takes more than a second, beyond the longest wait for a stalled stream. */
        const val LAST_EVENT = 55
        private const val EVENT_MILLIS = 20L
        private const val EVENTS_BEFORE_END = 4
        private const val SKIPPED_EVENTS = 5
        private const val LATE_MILLIS = 300L
        private const val NANOS_PER_MILLI = 1_000_000L
    }
}
