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
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** How a stubborn engine ends the stream of a run on which it works on. */
enum class StreamEnd { NONE, SILENCE, RESET, INVALID_EVENT, NO_HEAD, RESET_IN_QUEUE }

/** How a stubborn engine answers the request to stop a run. */
enum class StopConduct {
    PROMPT,
    LATE,
    BUSY_FIRST,
    REFUSED_FIRST,
    RESET_FIRST,
    NO_ROOM,
    BUSY_FOR_LONG,
    REFUSED_FOR_LONG,
    RESET_FOR_LONG,
    UNANSWERED_FIRST,

    /** Neither stops nor answers at first, and then does both. */
    SILENT_FOR_LONG,
    UNREACHABLE_FIRST,
    ANSWERED_TWICE,
}

/** One run as its engine knows it; times in milliseconds of one clock. */
internal class StubbornRun(
    val engine: String,
    val isFirst: Boolean,
    val request: String = "",
) {
    /** When the engine began to work on the run, or 0 while the run waits in its queue. */
    @Volatile
    var startedMillis = 0L

    @Volatile
    var workedMillis = 0L

    @Volatile
    var isStopped = false

    /** Whether the engine is to end the stream now as if it was whole. */
    @Volatile
    var endsEarly = false

    /** Whether the engine has ended the stream as if it was whole. */
    @Volatile
    var hasEnded = false

    /** Whether a copy of the run is in progress, during which the engine refuses other requests for the run. */
    val isMoving = AtomicBoolean()

    /** Whether the run was copied before, so that a further copy transfers only what is new. */
    @Volatile
    var isCopied = false
}

/**
 * A relay with engines that work on a run after its connection closed, until they are asked to stop it. The runs end
 * their streams as [ends] says, in the order in which they start.
 *
 * @param drainedRuns the runs whose engines announce that they leave
 * @param headDelaysMillis how long the runs are worked on before their heads are sent
 * @param eventsBeforeEnd number of events before the end of a stream that is not whole
 * @param copyMillis how long a copy takes on the link of its engine, which carries one after another
 */
internal class StubbornEngines(
    private val conduct: StopConduct,
    private val ends: List<StreamEnd>,
    private val drainedRuns: Set<Int>,
    private val lastEvent: Int = LAST_EVENT,
    private val headDelaysMillis: List<Long> = emptyList(),
    private val eventsBeforeEnd: Int = EVENTS_BEFORE_END,
    private val copyMillis: Long = 0,
) : AutoCloseable {
    val relay = RelayFixture()
    val runs = CopyOnWriteArrayList<StubbornRun>()
    val releasedCopies = CopyOnWriteArrayList<String>()
    private val engines = ConcurrentHashMap<String, ReplicaStandIn>()
    private val refusals = AtomicInteger()
    private val links = listOf("e-1", "e-2", "e-3", "e-4").associateWith { ReentrantLock(true) }
    private val troubles = ConcurrentHashMap<String, Trouble>()
    private val arrivals = CopyOnWriteArrayList<Pair<String, Long>>()
    private val pausedMillis = AtomicLong()

    /** Id of the engine that refuses new generations and requests a pause, or null. */
    @Volatile
    var pausingEngine: String? = null

    /** Whether the engine has requested its pause. */
    val isPaused: Boolean get() = pausedMillis.get() > 0
    private val firstStopMillis = AtomicLong()

    /** When all runs are over that are worked on now. */
    val lastWorkMillis: Long get() = runs.maxOf { it.workedMillis }

    fun start() {
        for (id in listOf("e-1", "e-2", "e-3", "e-4")) {
            engines[id] =
                relay.replica(id, RelayFixture.ENGINE) { request, answer ->
                    arrivals += id to nowMillis()
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
        val fields = Json.parseToJsonElement(request.body).jsonObject
        val isLast = fields["last"]?.jsonPrimitive?.boolean ?: false
        val named = fields.getValue("id").jsonPrimitive.content
        val run = runs.lastOrNull { it.engine == id && it.request == named && !it.isStopped && it.startedMillis > 0 }
        if (run == null) return answer.sendComplete(request, "{}", "404 Not Found")
        if (isLast && !run.isMoving.get() && isRefused(request, answer)) return
        if (!run.isMoving.compareAndSet(false, true)) return answer.sendComplete(request, "{}", "409 Conflict")
        try {
            copy(run, isLast, request, answer)
        } finally {
            run.isMoving.set(false)
        }
    }

    private fun copy(
        run: StubbornRun,
        isLast: Boolean,
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ) {
        if (isLast) run.isStopped = true
        occupyLink(run.engine, if (run.isCopied) copyMillis / FURTHER_COPY_PARTS else copyMillis)
        run.isCopied = true
        if (!isLast) {
            // A further copy may be requested as soon as the response arrives.
            run.isMoving.set(false)
            return answer.sendComplete(request, """{"session":"h-1","created":1}""")
        }
        if (conduct == StopConduct.LATE) Thread.sleep(LATE_MILLIS)
        val status = if (conduct == StopConduct.NO_ROOM) "503 Service Unavailable" else "200 OK"
        val responses = if (conduct == StopConduct.ANSWERED_TWICE) 2 else 1
        repeat(responses) { answer.sendComplete(request, """{"session":"h-2","created":1}""", status) }
    }

    /** Occupies the link of [engine] for [millis], in its turn. */
    fun occupyLink(
        engine: String,
        millis: Long,
    ) {
        if (millis > 0) links.getValue(engine).withLock { Thread.sleep(millis) }
    }

    /** Answers the stop of a run that goes on. Returns whether it was refused. */
    private fun isRefused(
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ): Boolean {
        firstStopMillis.compareAndSet(0, nowMillis())
        val isFirst = refusals.getAndIncrement() == 0
        val isEarly = nowMillis() - firstStopMillis.get() < REFUSAL_MILLIS
        if (conduct == StopConduct.SILENT_FOR_LONG && isEarly) {
            Thread.sleep((firstStopMillis.get() + REFUSAL_MILLIS - nowMillis()).coerceAtLeast(0))
        }
        val refuse: (() -> Unit)? =
            when (conduct) {
                StopConduct.BUSY_FIRST, StopConduct.BUSY_FOR_LONG -> {
                    { answer.sendComplete(request, "{}", "409 Conflict") }
                }
                StopConduct.REFUSED_FIRST, StopConduct.REFUSED_FOR_LONG -> {
                    { answer.sendNotExecuted(request) }
                }
                StopConduct.RESET_FIRST, StopConduct.RESET_FOR_LONG -> answer::reset
                StopConduct.UNANSWERED_FIRST -> {
                    { Thread.sleep(UNANSWERED_MILLIS) }
                }
                else -> null
            }
        val isDue = if (conduct in LONG_REFUSALS) isEarly else isFirst
        if (refuse == null || !isDue) return false
        refuse()
        return true
    }

    private fun generate(
        id: String,
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ) {
        if (isPausing(id, request, answer)) return
        val index = runs.size
        val end = ends.getOrElse(index) { StreamEnd.NONE }
        val isDrained = index in drainedRuns
        val run = StubbornRun(id, isFirst = runs.isEmpty(), request.header("X-Request-Id").orEmpty())
        runs += run
        val next = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
        var isRead = end != StreamEnd.RESET_IN_QUEUE
        if (!isRead) {
            answer.reset()
            Thread.sleep(QUEUE_MILLIS)
        }
        run.startedMillis = nowMillis()
        prefill(run, headDelaysMillis.getOrElse(index) { 0 })
        for (event in next..lastEvent) {
            if (run.isStopped || run.endsEarly) break
            run.workedMillis = nowMillis()
            if (isRead) {
                isRead = stream(answer, request, event, event - next, endOf(run, end))
                if (!isRead) leaveStream(run)
            }
            if (isDrained && event - next == 2) drain(id)
            Thread.sleep(EVENT_MILLIS)
        }
        if (!isRead || run.isStopped) throw IOException("the stream is not read any more")
        answer.endStream()
        run.hasEnded = true
    }

    /** Refuses a new generation if the engine with [id] is full. Returns whether it was refused. */
    private fun isPausing(
        id: String,
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ): Boolean {
        if (id != pausingEngine || request.header("Kv-From") != null) return false
        pausedMillis.compareAndSet(0, nowMillis())
        answer.sendNotExecuted(request, listOf(PAUSE_SECONDS.toString()))
        return true
    }

    private fun endOf(
        run: StubbornRun,
        planned: StreamEnd,
    ) = troubles[run.engine]?.takeIf { run.startedMillis < it.sinceMillis }?.end ?: planned

    /** Ends the streams of all runs that [engine] works on now with [end]. */
    fun trouble(
        engine: String,
        end: StreamEnd,
    ) {
        troubles[engine] = Trouble(end, nowMillis())
    }

    /** Lets [engine] name a limit of [perSecond] requests in its responses. */
    fun limit(
        engine: String,
        perSecond: String,
    ) {
        engines.getValue(engine).requestLimit = perSecond
    }

    /** Lets all engines keep idle connections open. */
    fun keepConnections() = engines.values.forEach { it.keepAliveSeconds = KEEP_ALIVE_SECONDS }

    /** Lets [engine] refuse new connections for as long as its runs last. */
    fun refuseConnections(engine: String) = engines.getValue(engine).refuseConnections(CROWD_MILLIS)

    /** Returns the requests about runs, other than generations, with the engine that they reached. */
    fun runRequests(): List<Pair<String, ReceivedRequest>> =
        engines.flatMap { (id, engine) ->
            engine.requests.filter { it.target.startsWith("/v1/") }.map { id to it }
        }

    /** Number of requests that reached [engine] in the part of its pause in which the users' rules count them. */
    fun requestsInPause(engine: String): Int {
        val counted = pausedMillis.get() + TRANSIT_MILLIS..pausedMillis.get() + PAUSE_SECONDS * MILLIS_PER_SECOND
        return arrivals.count { (id, atMillis) -> id == engine && atMillis in counted }
    }

    private class Trouble(
        val end: StreamEnd,
        val sinceMillis: Long,
    )

    /** Works on [run] for [millis] without sending anything. */
    private fun prefill(
        run: StubbornRun,
        millis: Long,
    ) {
        while (!run.isStopped && nowMillis() - run.startedMillis < millis) {
            run.workedMillis = nowMillis()
            Thread.sleep(EVENT_MILLIS)
        }
    }

    private fun leaveStream(run: StubbornRun) {
        if (conduct != StopConduct.UNREACHABLE_FIRST || !run.isFirst) return
        engines.getValue(run.engine).refuseConnections(UNREACHABLE_MILLIS)
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
            if (index < eventsBeforeEnd && troubles.isEmpty() || end == StreamEnd.NONE) {
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

    /** Lets the engine with [id] announce that it leaves. */
    fun drain(id: String) = relay.register(id, RelayFixture.ENGINE, engines.getValue(id), state = "draining")

    /**
     * Returns for how many milliseconds at most two engines worked on the generation at the same time.
     */
    fun longestOverlapMillis(): Long {
        val pairs =
            runs.flatMap { one ->
                runs.filter { it.request == one.request && it.engine != one.engine }.map { one to it }
            }
        return pairs.maxOfOrNull { (one, other) ->
            minOf(one.workedMillis, other.workedMillis) - maxOf(one.startedMillis, other.startedMillis)
        } ?: 0
    }

    override fun close() = relay.close()

    fun nowMillis() = System.nanoTime() / NANOS_PER_MILLI

    companion object {
        /** A whole run takes more than a second, beyond the longest wait for a stalled stream. */
        const val LAST_EVENT = 55
        private const val EVENT_MILLIS = 20L
        private const val EVENTS_BEFORE_END = 4
        private const val SKIPPED_EVENTS = 5
        private const val LATE_MILLIS = 300L

        /** Refusals that last longer than two runs may work beside each other. */
        val LONG_REFUSALS =
            setOf(
                StopConduct.BUSY_FOR_LONG,
                StopConduct.REFUSED_FOR_LONG,
                StopConduct.RESET_FOR_LONG,
                StopConduct.SILENT_FOR_LONG,
            )

        /** The time for which an engine refuses to stop a run. */
        const val REFUSAL_MILLIS = 700L
        private const val QUEUE_MILLIS = 300L
        private const val UNANSWERED_MILLIS = 4_000L
        private const val UNREACHABLE_MILLIS = 160L
        private const val FURTHER_COPY_PARTS = 10
        private const val KEEP_ALIVE_SECONDS = 30
        private const val CROWD_MILLIS = 3_500L
        private const val NANOS_PER_MILLI = 1_000_000L
        private const val MILLIS_PER_SECOND = 1_000L

        /** The pause that a full engine requests. */
        const val PAUSE_SECONDS = 2L

        /** The part of a pause in which requests may still be in flight. */
        private const val TRANSIT_MILLIS = 500L
    }
}
