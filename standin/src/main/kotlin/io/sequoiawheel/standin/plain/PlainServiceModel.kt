package io.sequoiawheel.standin.plain

import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import org.apache.commons.rng.UniformRandomProvider
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * A plain service without I/O. It records every run and does not deduplicate requests, so that tests can detect a
 * request that ran twice. Times are milliseconds of one monotonic clock. This class is thread-safe.
 */
class PlainServiceModel(
    private val settings: PlainServiceSettings,
    private val random: UniformRandomProvider,
) {
    private val lock = ReentrantLock()
    private val recorded = ArrayList<PlainRun>()
    private val pendingFaults = ArrayDeque<PendingFault>()
    private var starts = 0
    private var warmAtMillis = 0L
    private var active = 0
    private var overloadCount = 0
    private var coldOverloadCount = 0
    private var lastAnswer: PlainReply.Answer? = null
    private var sample: Sample? = null

    /** All runs since the model was created, in the order in which they started. */
    val runs: ImmutableList<PlainRun> get() = lock.withLock { recorded.toImmutableList() }

    /** Number of calls refused because they exceeded the concurrency limit of the server. */
    val overloads: Int get() = lock.withLock { overloadCount }

    /** Number of [overloads] while the server was cold. */
    val coldOverloads: Int get() = lock.withLock { coldOverloadCount }

    /** Simulates a restart of the process: the server is cold and its active calls are lost. */
    fun restart(nowMillis: Long) =
        lock.withLock {
            starts++
            active = 0
            sample = null
            warmAtMillis = nowMillis + settings.coldMillis
        }

    /** Applies [faults]. */
    fun applyFaults(
        faults: PlainServiceFaults,
        nowMillis: Long,
    ) = lock.withLock {
        faults.answers.forEach { pendingFaults += PendingFault(it, faults.call, faults.lateMillis) }
        if (faults.turnCold) warmAtMillis = nowMillis + settings.coldMillis
    }

    /** Starts a call, or returns a reply that states that it did not run. */
    fun begin(
        requestId: RequestId,
        call: String,
        body: String,
        nowMillis: Long,
    ): PlainReply =
        lock.withLock {
            val callSettings = settings.calls[call] ?: return PlainReply.Unknown
            if (active >= concurrencyLimit(nowMillis)) {
                overloadCount++
                if (nowMillis < warmAtMillis) coldOverloadCount++
                return PlainReply.Refused("all ${concurrencyLimit(nowMillis)} concurrency slots are in use")
            }
            val fault = pollFault(call)
            if (fault?.kind == AnswerFault.REFUSED) return PlainReply.Refused("refused by an injected fault")
            active++
            val duration = callSettings.durationMillis + random.nextLong(callSettings.jitterMillis + 1)
            val number = recorded.size.toLong()
            val run = PlainRun(number, requestId, call, body, duration, fault?.kind, fault?.lateMillis ?: 0)
            recorded += run
            PlainReply.Started(run)
        }

    /** Finishes [run] and returns its reply, with the fault of the run applied. */
    fun finish(run: PlainRun): PlainReply =
        lock.withLock {
            active = (active - 1).coerceAtLeast(0)
            val complete = PlainReply.Answer(run.requestId, STATUS_OK, run.answer)
            val otherRequestId = RequestId("other-${run.requestId.value}")
            val reply =
                when (run.fault) {
                    null, AnswerFault.REFUSED -> complete
                    AnswerFault.FAILED -> PlainReply.Answer(run.requestId, STATUS_FAILED, "{}")
                    AnswerFault.LATE -> complete.copy(delayMillis = run.lateMillis)
                    AnswerFault.CROSSED -> lastAnswer ?: complete.copy(requestId = otherRequestId)
                    AnswerFault.LOST -> PlainReply.Lost
                    AnswerFault.MISMATCHED -> complete.copy(requestId = otherRequestId)
                }
            lastAnswer = complete
            reply
        }

    /** Returns a load report, which is at most [PlainServiceSettings.reportLagMillis] old. */
    fun load(nowMillis: Long): LoadReport =
        lock.withLock {
            val fresh = sample?.takeIf { nowMillis - it.atMillis <= settings.reportLagMillis }
            val current = fresh ?: Sample(nowMillis, report(nowMillis)).also { sample = it }
            current.report.copy(ageMillis = nowMillis - current.atMillis)
        }

    private fun report(nowMillis: Long) =
        LoadReport(
            startId = "start-$starts",
            cold = nowMillis < warmAtMillis,
            running = active,
            maximumConcurrent = concurrencyLimit(nowMillis),
        )

    private fun concurrencyLimit(nowMillis: Long): Int =
        if (nowMillis < warmAtMillis) settings.coldConcurrent else settings.maximumConcurrent

    private fun pollFault(call: String): PendingFault? {
        val fault = pendingFaults.firstOrNull { it.call == null || it.call == call } ?: return null
        pendingFaults.remove(fault)
        return fault
    }

    private class PendingFault(
        val kind: AnswerFault,
        val call: String?,
        val lateMillis: Long,
    )

    private class Sample(
        val atMillis: Long,
        val report: LoadReport,
    )

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_FAILED = 500
    }
}
