package io.sequoiawheel.standin.plain

import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import org.apache.commons.rng.UniformRandomProvider
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * A plain service without I/O. It records every run and never removes repeated requests, so that a second run of the
 * same request shows. Times are milliseconds of one monotonic clock. It is thread-safe.
 */
class PlainServiceModel(
    private val settings: PlainServiceSettings,
    private val random: UniformRandomProvider,
) {
    private val lock = ReentrantLock()
    private val recorded = ArrayList<PlainRun>()
    private val ordered = ArrayDeque<OrderedFault>()
    private var starts = 0
    private var warmAtMillis = 0L
    private var active = 0
    private var refusals = 0
    private var coldRefusals = 0
    private var lastAnswer: PlainReply.Answer? = null
    private var sample: Sample? = null

    /** All runs since the model was made, in the order of their start. */
    val runs: ImmutableList<PlainRun> get() = lock.withLock { recorded.toImmutableList() }

    /** Calls that exceeded the concurrency of the server and were refused. */
    val overloads: Int get() = lock.withLock { refusals }

    /** Those of [overloads] that met a cold server. */
    val coldOverloads: Int get() = lock.withLock { coldRefusals }

    /** Starts the process anew: it is cold, and its earlier calls are gone. */
    fun restart(nowMillis: Long) =
        lock.withLock {
            starts++
            active = 0
            sample = null
            warmAtMillis = nowMillis + settings.coldMillis
        }

    /** Puts [faults] in force. */
    fun order(
        faults: PlainServiceFaults,
        nowMillis: Long,
    ) = lock.withLock {
        faults.answers.forEach { ordered += OrderedFault(it, faults.call, faults.lateMillis) }
        if (faults.turnCold) warmAtMillis = nowMillis + settings.coldMillis
    }

    /** Starts a call, or says that it did not run. */
    fun begin(
        requestId: RequestId,
        call: String,
        body: String,
        nowMillis: Long,
    ): PlainReply =
        lock.withLock {
            val callSettings = settings.calls[call] ?: return PlainReply.Unknown
            if (active >= concurrency(nowMillis)) {
                refusals++
                if (nowMillis < warmAtMillis) coldRefusals++
                return PlainReply.Refused("all ${concurrency(nowMillis)} places are taken")
            }
            val fault = takeFault(call)
            if (fault?.kind == AnswerFault.REFUSED) return PlainReply.Refused("refused by order")
            active++
            val duration = callSettings.durationMillis + random.nextLong(callSettings.jitterMillis + 1)
            val number = recorded.size.toLong()
            val run = PlainRun(number, requestId, call, body, duration, fault?.kind, fault?.lateMillis ?: 0)
            recorded += run
            PlainReply.Started(run)
        }

    /** Ends [run] and returns its answer with the fault that was ordered for it. */
    fun finish(run: PlainRun): PlainReply =
        lock.withLock {
            active = (active - 1).coerceAtLeast(0)
            val whole = PlainReply.Answer(run.requestId, STATUS_OK, run.answer)
            val foreign = RequestId("other-${run.requestId.value}")
            val reply =
                when (run.fault) {
                    null, AnswerFault.REFUSED -> whole
                    AnswerFault.FAILED -> PlainReply.Answer(run.requestId, STATUS_FAILED, "{}")
                    AnswerFault.LATE -> whole.copy(delayMillis = run.lateMillis)
                    AnswerFault.CROSSED -> lastAnswer ?: whole.copy(requestId = foreign)
                    AnswerFault.LOST -> PlainReply.Lost
                    AnswerFault.MISMATCHED -> whole.copy(requestId = foreign)
                }
            lastAnswer = whole
            reply
        }

    /** Returns a load report that may be up to [PlainServiceSettings.reportLagMillis] old. */
    fun load(nowMillis: Long): LoadReport =
        lock.withLock {
            val known = sample?.takeIf { nowMillis - it.atMillis <= settings.reportLagMillis }
            val current = known ?: Sample(nowMillis, report(nowMillis)).also { sample = it }
            current.report.copy(ageMillis = nowMillis - current.atMillis)
        }

    private fun report(nowMillis: Long) =
        LoadReport(
            startId = "start-$starts",
            cold = nowMillis < warmAtMillis,
            running = active,
            maximumConcurrent = concurrency(nowMillis),
        )

    private fun concurrency(nowMillis: Long): Int =
        if (nowMillis < warmAtMillis) settings.coldConcurrent else settings.maximumConcurrent

    private fun takeFault(call: String): OrderedFault? {
        val fault = ordered.firstOrNull { it.call == null || it.call == call } ?: return null
        ordered.remove(fault)
        return fault
    }

    private class OrderedFault(
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
