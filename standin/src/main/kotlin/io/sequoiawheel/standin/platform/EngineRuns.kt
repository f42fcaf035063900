/*
 * The streams that an engine runs, and the requests to copy or stop them.
 */
package io.sequoiawheel.standin.platform

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.boolean
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/**
 * How a stubborn engine answers the requests to stop a run.
 *
 * @property refusal the status of the answers to the first requests, or null for none
 * @property proof headers which say that such a request was not executed
 */
enum class StopConduct(
    val isRefusing: Boolean = false,
    val refusal: String? = null,
    val proof: String = "",
) {
    /** Stops at once and answers when the run is copied. */
    PROMPT,

    /** Stops at once and answers long after. */
    LATE,
    BUSY(isRefusing = true, refusal = "409 Conflict"),
    REFUSED(isRefusing = true, refusal = UNAVAILABLE, proof = NOT_EXECUTED),
    LIMITED(isRefusing = true, refusal = "429 Too Many Requests", proof = NOT_EXECUTED),
    RESET(isRefusing = true),

    /** Stops at once, but cannot copy the run. */
    NO_ROOM,

    /** Neither stops nor answers. */
    SILENT,
}

private const val UNAVAILABLE = "503 Service Unavailable"
private const val NOT_EXECUTED = "X-Not-Executed: 1\r\n"

/**
 * One run.
 *
 * @property stopConduct how it is stopped, unless the engine's conduct names a way
 * @param refusals requests to stop it that fail before one succeeds
 */
class EngineRun(
    val requestId: String,
    val stopConduct: StopConduct,
    refusals: Int,
    private val record: RunRecord,
) : RunRecord by record {
    private val refusalsLeft = AtomicInteger(refusals)

    /** Whether a request to copy the run is in progress. */
    val isCopied = AtomicBoolean()

    /** The number of the last event that was made. */
    @Volatile
    var lastEvent = 0

    @Volatile
    var isStopped = false
        private set

    fun stop() {
        isStopped = true
        record.end(RunResult.STOPPED)
    }

    /** Whether the next request to stop the run succeeds. */
    fun allowsStop(): Boolean = refusalsLeft.getAndDecrement() <= 0
}

/**
 * @param address the address under which instances know the engine
 * @param conduct returns what the engine does now
 */
class EngineRuns(
    private val address: String,
    private val copies: RunCopies,
    seed: Long,
    private val conduct: () -> ReplicaConduct,
) {
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val runs = ConcurrentHashMap<String, EngineRun>()

    fun begin(
        requestId: String,
        record: RunRecord,
    ): EngineRun {
        val run =
            synchronized(random) {
                val conducts = StopConduct.entries
                val stopConduct = conducts[random.nextInt(conducts.size)]
                val refusals =
                    if (random.nextInt(LONG_REFUSALS) ==
                        0
                    ) {
                        MOST_REFUSALS
                    } else {
                        random.nextInt(1, FEW_REFUSALS)
                    }
                EngineRun(requestId, stopConduct, refusals, record)
            }
        runs[requestId] = run
        return run
    }

    fun end(run: EngineRun) {
        runs.remove(run.requestId, run)
    }

    /** Answers a request to copy a run or to free a copy. */
    fun answer(
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ) {
        if (request.method == "DELETE") {
            copies.release(request.target.substringAfterLast('/'))
            return answer.writeStatus("200 OK", "{}")
        }
        val fields = Json.parseToJsonElement(request.body).jsonObject
        val requestId = fields.getValue("id").jsonPrimitive.content
        val destination = fields.getValue("to").jsonPrimitive.content
        val isLast = fields["last"]?.jsonPrimitive?.boolean ?: false
        val run = runs[requestId]?.takeIf { !it.isStopped } ?: return answer.writeStatus("404 Not Found", "{}")
        if (!run.isCopied.compareAndSet(false, true)) return answer.writeStatus("409 Conflict", "{}")
        try {
            if (isLast) stop(run, destination, answer) else copy(run, destination, answer)
        } finally {
            run.isCopied.set(false)
        }
    }

    private fun copy(
        run: EngineRun,
        destination: String,
        answer: ReplicaAnswer,
    ) {
        val lacksRoom = conduct().isStubborn && synchronized(random) { random.nextInt(COPIES_PER_LACK) } == 0
        if (lacksRoom) return answer.writeStatus(UNAVAILABLE, "{}")
        Thread.sleep(COPY_MILLIS)
        answer.writeStatus("200 OK", handle(run, destination))
    }

    private fun stop(
        run: EngineRun,
        destination: String,
        answer: ReplicaAnswer,
    ) {
        val now = conduct()
        val stopConduct = if (now.isStubborn) now.stopConduct ?: run.stopConduct else StopConduct.PROMPT
        val isSilent = stopConduct == StopConduct.SILENT
        if (isSilent || (stopConduct.isRefusing && !run.allowsStop())) {
            run.note("stop met $stopConduct")
            if (isSilent) Thread.sleep(SILENCE_MILLIS)
            val refusal = stopConduct.refusal
            return if (refusal == null) answer.reset() else answer.writeStatus(refusal, "", stopConduct.proof)
        }
        run.note("stopped $stopConduct")
        run.stop()
        Thread.sleep(if (stopConduct == StopConduct.LATE) LATE_MILLIS else COPY_MILLIS)
        val status = if (stopConduct == StopConduct.NO_ROOM) UNAVAILABLE else "200 OK"
        answer.writeStatus(status, handle(run, destination))
    }

    private fun handle(
        run: EngineRun,
        destination: String,
    ): String {
        val handle = copies.create(run.requestId, address, destination, run.isStopped)
        return """{"session":"$handle","created":${run.lastEvent}}"""
    }

    private companion object {
        const val COPY_MILLIS = 25L

        /** Longer than instances wait for the response. */
        const val LATE_MILLIS = 1_300L
        const val SILENCE_MILLIS = 5_000L
        const val COPIES_PER_LACK = 8
        const val LONG_REFUSALS = 6
        const val MOST_REFUSALS = 12
        const val FEW_REFUSALS = 4
    }
}
