package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.pace.BatchServiceTimeEstimator
import io.sequoiawheel.core.relay.EngineProfile
import io.sequoiawheel.core.relay.GenerationDemand
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.platform.LoadNotice
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics
import java.util.Collections
import java.util.WeakHashMap
import kotlin.math.roundToLong

/** Records the speed that replicas report and that their streams show. Confined to the event loop. */
internal class PaceObserver(
    private val clock: Clock,
    private val log: DecisionLog,
    private val metrics: RelayMetrics,
) {
    private val estimator = BatchServiceTimeEstimator()
    private val loggedReplicas: MutableSet<Replica> = Collections.newSetFromMap(WeakHashMap())

    /** Records the load that a response of [replica] named; malformed ones are counted, and logged once per replica. */
    fun onLoad(
        replica: Replica,
        notice: LoadNotice,
    ) {
        when (notice) {
            is LoadNotice.None -> Unit
            is LoadNotice.Reported -> notice.speedHundredths?.let(replica.pace::recordFigure)
            is LoadNotice.Unreadable -> {
                metrics.count("replica.loads", "malformed")
                if (!loggedReplicas.add(replica)) return
                log.stateChange(
                    "replica named a malformed load",
                    mapOf("replica" to replica.toString(), "value" to notice.value.take(SHOWN_CHARACTERS)),
                )
            }
        }
    }

    /** Returns what is expected of a generation that is sent to [replica] now, keyed by log field names. */
    fun expectation(
        replica: Replica,
        demand: GenerationDemand,
        engine: EngineProfile?,
    ): Map<String, Any?> {
        if (engine == null || !replica.pace.isKnown) return emptyMap()
        val figure = replica.pace.figure
        return mapOf(
            "expectedFirstEventMilliseconds" to estimator.firstEventMillis(replica, demand, engine).roundToLong(),
            "expectedPauseMilliseconds" to estimator.eventGapMillis(replica, engine).roundToLong(),
            "replicaFactorHundredths" to (replica.pace.factor() * HUNDREDTHS).roundToLong(),
            "replicaFigure" to figure?.hundredths,
            "replicaFigureAgeMilliseconds" to figure?.let { clock.nowMillis() - it.observedAtMillis },
        )
    }

    /** Returns an observer of one stream of [replica]. */
    fun observe(
        replica: Replica,
        engine: EngineProfile?,
    ) = StreamPace(clock, estimator, replica, engine)

    private companion object {
        const val SHOWN_CHARACTERS = 64
        const val HUNDREDTHS = 100
    }
}

/** Compares the time between the events of one stream with what the batch of its replica explains. */
internal class StreamPace(
    private val clock: Clock,
    private val estimator: BatchServiceTimeEstimator,
    private val replica: Replica,
    private val engine: EngineProfile?,
) {
    private var lastMillis: Long? = null
    private var elapsedMillis = 0L
    private var explainedMillis = 0.0
    private var events = 0

    /** Records that [count] events arrived together. */
    fun recordEvents(count: Int) {
        if (engine == null || !replica.pace.isKnown) return
        val now = clock.nowMillis()
        val previous = lastMillis
        lastMillis = now
        if (previous == null) return
        elapsedMillis += now - previous
        explainedMillis += count * estimator.usualGapMillis(replica, engine)
        events += count
        if (events < OBSERVED_EVENTS) return
        val factor = elapsedMillis / explainedMillis
        if (factor >= MINIMUM_FACTOR) replica.pace.recordObservation(factor)
        restart(now)
    }

    /** Records that the events were delivered; a caller that reads slowly says nothing about the replica. */
    fun recordDelivery() {
        val now = clock.nowMillis()
        if (now - (lastMillis ?: return) > MAXIMUM_DELIVERY_MILLIS) restart(null)
    }

    private fun restart(fromMillis: Long?) {
        lastMillis = fromMillis
        elapsedMillis = 0
        explainedMillis = 0.0
        events = 0
    }

    private companion object {
        /** About half a second: long enough that the batch of a step does not matter, shorter than a spell. */
        const val OBSERVED_EVENTS = 10

        /** Events that arrive faster are repeated ones, which the replica did not generate now. */
        const val MINIMUM_FACTOR = 0.2

        /** Half an event's time, beyond which events may wait for the caller. */
        const val MAXIMUM_DELIVERY_MILLIS = 20L
    }
}
