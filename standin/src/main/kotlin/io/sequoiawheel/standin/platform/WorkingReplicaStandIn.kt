/*
 * A replica that works for a while on each request and reports every run to an observer. Its answers name the request
 * and the replica, so that a response that reaches another caller, or is joined from two runs, can be recognized.
 */
package io.sequoiawheel.standin.platform

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * Number of events in every stream, and the time between two of them, which is the same for all events of a stream.
 */
data class StreamPace(
    val events: Int = WorkingReplicaStandIn.EVENTS,
    val eventMillis: LongRange = 15L..15L,
) {
    /** Returns the time between two events of the stream of [requestId]. */
    fun eventMillisOf(requestId: String): Long {
        val count = (eventMillis.last - eventMillis.first + 1).toInt()
        return eventMillis.first + Math.floorMod(requestId.hashCode(), count)
    }
}

/**
 * What a replica shares with the others of its deployment.
 *
 * @property address the address under which instances know the replica
 */
data class ReplicaSetup(
    val address: String = "",
    val copies: RunCopies = RunCopies(),
    val pace: StreamPace = StreamPace(),
    val seed: Long = 1,
)

/**
 * @param crashingParts returns the prompt parts on which the replica crashes
 * @param onCrash called once an answer to a prompt with such a part has begun; it is to end the replica soon
 */
class WorkingReplicaStandIn(
    val id: String,
    private val observer: RunObserver,
    private val setup: ReplicaSetup = ReplicaSetup(),
    private val crashingParts: () -> Set<String> = { emptySet() },
    private val onCrash: (String) -> Unit = {},
) : AutoCloseable {
    private val refused = ConcurrentHashMap.newKeySet<String>()
    private val broken = ConcurrentHashMap.newKeySet<String>()
    private val timer = Executors.newSingleThreadScheduledExecutor()
    private val random = SecondAnswers(setup.seed)
    private val engineRuns = EngineRuns(setup.address, setup.copies, setup.seed) { conduct }
    private val server = ReplicaStandIn(::handle).also { it.secondAnswers = ::drawSecondAnswer }

    @Volatile
    private var lastRequestId = "none"

    @Volatile
    var conduct = ReplicaConduct()

    /** Set before the replica is closed, so that runs that end with it count as broken off. */
    @Volatile
    var isCrashed = false

    val port: Int get() = server.address.substringAfter(':').toInt()

    override fun close() {
        timer.shutdownNow()
        server.close()
    }

    private fun drawSecondAnswer(answer: String): SecondAnswer? {
        if (answer.isEmpty() || !random.isDue(conduct.secondAnswerPercent)) return null
        return random.draw(answer, lastRequestId).also { observer.onSecondAnswers(it.count) }
    }

    private fun handle(
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ) {
        val requestId = request.header("X-Request-Id").orEmpty()
        val expected = request.header("X-Expect-Instance")
        val isMisdirected = expected != null && expected != id
        if (request.target.startsWith("/v1/")) {
            if (isMisdirected) answer.writeStatus(MISDIRECTED, "") else engineRuns.answer(request, answer)
            return
        }
        val copy = request.header("Kv-From")
        when {
            isMisdirected -> {
                observer.onRefused(requestId)
                answer.write(refusal(requestId, MISDIRECTED))
            }
            conduct.refusesFirst && refused.add(requestId) -> refuse(requestId, answer)
            copy == null && random.isDue(conduct.refusalPercent) -> refuse(requestId, answer)
            copy != null && !setup.copies.take(copy, requestId, setup.address) -> refuse(requestId, answer)
            else -> run(request, answer)
        }
        if (random.isDue(OTHER_ID_PERCENT)) lastRequestId = requestId
    }

    private fun run(
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ) {
        val requestId = request.header("X-Request-Id").orEmpty()
        val isStream = request.target.startsWith("/stream") || request.target.startsWith("/resumable")
        val isContinuation = request.header("Kv-From") != null
        val fails = !isContinuation && random.isDue(conduct.failurePercent)
        val body = "$id ${if (fails) "failed" else "ran"} $requestId with ${request.body}"
        val lastEvent = request.header("Last-Event-Id")?.toInt()
        val status = if (fails) SERVER_ERROR else OK
        val signature = "$id.$requestId"
        val record = observer.onStarted(RunStart(requestId, body, signature, status, lastEvent, isContinuation))
        val identity = "X-Request-Id: $requestId\r\nX-Response-Signature: $signature\r\n"
        try {
            if (isStream && !fails) {
                record.end(stream(request, answer, "HTTP/1.1 200 OK\r\n$identity", record))
            } else {
                Thread.sleep(conduct.workMillis)
                val line = if (fails) "500 Internal Server Error" else "200 OK"
                answer.whole { answer.write("HTTP/1.1 $line\r\n$identity${frame(body)}") }
                record.end(RunResult.ANSWERED)
            }
        } catch (lost: IOException) {
            record.end(lostResult())
            throw lost
        } catch (_: InterruptedException) {
            record.end(lostResult())
        }
    }

    /** Returns [body] with its length, or in chunks. */
    private fun frame(body: String): String =
        if (random.isDue(CHUNKED_PERCENT)) {
            "Transfer-Encoding: chunked\r\n\r\n${body.length.toString(HEX)}\r\n$body\r\n0\r\n\r\n"
        } else {
            "Content-Length: ${body.length}\r\n\r\n$body"
        }

    private fun lostResult() = if (isCrashed) RunResult.BROKEN_OFF else RunResult.CONNECTION_LOST

    private fun refuse(
        requestId: String,
        answer: ReplicaAnswer,
    ) {
        observer.onRefused(requestId)
        val text = refusal(requestId, "503 Service Unavailable")
        answer.write(text)
        if (!conduct.repeatsRefusals) return
        timer.schedule({ runCatching { answer.writeBetween(text) } }, conduct.repeatMillis, TimeUnit.MILLISECONDS)
    }

    private fun refusal(
        requestId: String,
        status: String,
    ) = "HTTP/1.1 $status\r\nX-Request-Id: $requestId\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

    /** Streams the events after the request's last one. */
    private fun stream(
        request: ReceivedRequest,
        answer: ReplicaAnswer,
        head: String,
        record: RunRecord,
    ): RunResult {
        val requestId = request.header("X-Request-Id").orEmpty()
        val isResumed = (request.header("Last-Event-Id")?.toInt() ?: 0) > 0
        if (isResumed && conduct.failsResumed) {
            val text = "replica failed"
            answer.write(
                "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: $requestId\r\n" +
                    "Content-Length: ${text.length}\r\n\r\n$text",
            )
            return RunResult.BROKEN_OFF
        }
        val run = engineRuns.begin(requestId, record)
        try {
            Thread.sleep(conduct.workMillis)
            val events =
                EventWriter(answer, { conduct.isStubborn }) { isOwn ->
                    record.endStream(if (isOwn) RunResult.BROKEN_OFF else lostResult())
                }
            return answer.whole { writeEvents(request, run, events, head) }
        } finally {
            engineRuns.end(run)
        }
    }

    private fun crashingPart(request: ReceivedRequest): String? {
        val shared =
            request
                .header("X-Prefix-Hash")
                .orEmpty()
                .split(',')
                .dropLast(1)
        return shared.map { it.substringBefore(':') }.firstOrNull { it in crashingParts() }
    }

    private fun crash(part: String) {
        onCrash(part)
        Thread.sleep(CRASH_WAIT_MILLIS)
    }

    private fun writeEvents(
        request: ReceivedRequest,
        run: EngineRun,
        events: EventWriter,
        head: String,
    ): RunResult {
        val requestId = run.requestId
        val first = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
        val pace = setup.pace
        val eventMillis = pace.eventMillisOf(requestId)
        val crashingPart = crashingPart(request)
        val backup = request.header("X-Kv-Backup")
        events.write { write("${head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") }
        val breaksOff = conduct.breaksStreams && broken.add(requestId)
        val breakingEvent = if (breaksOff) maxOf(first, pace.events / 2) else 0
        for (event in first..pace.events) {
            if (run.isStopped) throw IOException("the run was stopped")
            val text = event(requestId, event, id)
            if (event == breakingEvent) events.breakOff(text.take(text.length / 2))
            if (event == breakingEvent && !conduct.isStubborn) return RunResult.BROKEN_OFF
            events.write { sendChunk(text) }
            run.lastEvent = event
            if (backup != null && event % EVENTS_PER_BACKUP == 0) setup.copies.backUp(requestId, backup)
            Thread.sleep(eventMillis)
            crashingPart?.let(::crash)
        }
        if (!events.isRead) return events.end(if (breaksOff) RunResult.BROKEN_OFF else lostResult())
        events.write { endStream() }
        if (backup != null) setup.copies.releaseBackup(requestId, backup)
        return RunResult.ANSWERED
    }

    companion object {
        /** Number of events in every stream. */
        const val EVENTS = 12
        private const val EVENTS_PER_BACKUP = 4
        private const val OK = 200
        private const val MISDIRECTED = "421 Misdirected Request"
        private const val SERVER_ERROR = 500
        private const val CHUNKED_PERCENT = 30
        private const val HEX = 16

        /** Share of the requests whose ids later answers to other requests name. */
        private const val OTHER_ID_PERCENT = 30

        /** Long enough for the end of the replica, which interrupts the wait. */
        private const val CRASH_WAIT_MILLIS = 10_000L

        /** Returns the event [number] of the stream of [requestId], as replica [id] writes it. */
        fun event(
            requestId: String,
            number: Int,
            id: String,
        ): String = "id: $number\ndata: piece $number of $requestId by $id\n\n"
    }
}

/**
 * Writes the events of one stream. A stubborn replica goes on without a connection once a write failed.
 *
 * @param onEnd called when the connection of a stream that is not whole ends, with whether the replica ended it
 */
private class EventWriter(
    private val answer: ReplicaAnswer,
    private val isStubborn: () -> Boolean,
    private val onEnd: (Boolean) -> Unit,
) {
    var isRead = true
        private set

    fun write(body: ReplicaAnswer.() -> Unit) {
        if (!isRead) return
        try {
            answer.body()
        } catch (lost: IOException) {
            isRead = false
            onEnd(false)
            if (!isStubborn()) throw lost
        }
    }

    /** Writes [text] and resets the connection. */
    fun breakOff(text: String) {
        write { sendChunk(text) }
        if (isRead) onEnd(true)
        answer.reset()
        isRead = false
    }

    /** Closes the connection, which carried no whole response, and returns [result]. */
    fun end(result: RunResult): RunResult {
        answer.close()
        return result
    }
}
