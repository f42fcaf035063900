package io.sequoiawheel.soak.rig

import io.sequoiawheel.soak.history.Call
import io.sequoiawheel.soak.history.Departure
import io.sequoiawheel.soak.history.Disturbance
import io.sequoiawheel.soak.history.DisturbanceKind
import io.sequoiawheel.soak.history.History
import io.sequoiawheel.soak.history.InstanceFault
import io.sequoiawheel.soak.history.PartCrash
import io.sequoiawheel.soak.history.Run
import io.sequoiawheel.soak.history.RunEnd
import io.sequoiawheel.standin.platform.RunObserver
import io.sequoiawheel.standin.platform.RunRecord
import io.sequoiawheel.standin.platform.RunResult
import io.sequoiawheel.standin.platform.RunStart
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/** Collects the history of a run from all threads. */
class Recorder {
    private val startNanos = System.nanoTime()
    private val nextId = AtomicLong()
    private val secondAnswers = AtomicInteger()
    private val runs = ConcurrentLinkedQueue<AtomicReference<Run>>()
    private val disturbances = ConcurrentLinkedQueue<AtomicReference<Disturbance>>()
    val calls = ConcurrentLinkedQueue<Call>()
    val departures = ConcurrentLinkedQueue<Departure>()
    val partCrashes = ConcurrentLinkedQueue<PartCrash>()
    val instanceFaults = ConcurrentLinkedQueue<InstanceFault>()

    fun nowMillis(): Long = (System.nanoTime() - startNanos) / NANOS_PER_MILLI

    /** Returns an id for a request that occurs in no other one. */
    fun newRequestId(): String = "q${nextId.incrementAndGet()}z"

    /** Records a disturbance that begins now. Returns the function that ends it. */
    fun disturb(
        kind: DisturbanceKind,
        target: String,
    ): () -> Unit {
        val entry = AtomicReference(Disturbance(kind, target, nowMillis(), Long.MAX_VALUE))
        disturbances += entry
        return { entry.updateAndGet { it.copy(toMillis = nowMillis()) } }
    }

    /** Returns an observer that records the runs of [replica]. */
    fun observe(replica: String): RunObserver =
        object : RunObserver {
            override fun onRefused(requestId: String) {
                val now = nowMillis()
                runs += AtomicReference(Run(requestId, replica, now, now, RunEnd.REFUSED))
            }

            override fun onStarted(start: RunStart): RunRecord {
                val run =
                    Run(
                        start.requestId,
                        replica,
                        nowMillis(),
                        body = start.body,
                        signature = start.signature,
                        status = start.status,
                        resumedAfter = start.resumedAfter,
                        isContinuation = start.isContinuation,
                    )
                return record(AtomicReference(run).also { runs += it })
            }

            override fun onSecondAnswers(count: Int) {
                secondAnswers.addAndGet(count)
            }
        }

    private fun record(entry: AtomicReference<Run>) =
        object : RunRecord {
            override fun note(text: String) {
                val now = nowMillis()
                entry.updateAndGet { it.copy(notes = it.notes + "$text at $now") }
            }

            override fun endStream(result: RunResult) {
                val now = nowMillis()
                entry.updateAndGet {
                    val isFirst = it.endMillis == null && it.streamEnd == null
                    if (isFirst) it.copy(streamEnd = RunEnd.valueOf(result.name), streamEndMillis = now) else it
                }
            }

            override fun end(result: RunResult) {
                val now = nowMillis()
                entry.updateAndGet {
                    if (it.endMillis == null) it.copy(endMillis = now, end = RunEnd.valueOf(result.name)) else it
                }
            }
        }

    fun history() =
        History(
            calls.toList(),
            runs.map { it.get() },
            disturbances.map { it.get() },
            departures.toList(),
            instanceFaults.toList(),
            partCrashes.toList(),
            secondAnswers.get(),
        )

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
