package io.sequoiawheel.experiment.simulation

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.standin.engine.CacheEvent
import io.sequoiawheel.standin.engine.EngineModel
import io.sequoiawheel.standin.engine.ModelEvent
import io.sequoiawheel.standin.engine.ModelRequest
import io.sequoiawheel.standin.engine.Submission

/**
 * One replica, an engine model that is stepped in virtual time.
 *
 * @property index position in the topology
 * @property engine the model; policies must use [loadReport] and [cacheEvents] only
 */
class SimulatedReplica(
    val index: Int,
    val zone: String,
    val engine: EngineModel,
    private val loop: EventLoop,
    private val onEvents: (SimulatedReplica, List<ModelEvent>) -> Unit,
) {
    private var isStepping = false

    /** The current state, without the lag of the instance list. */
    var state = Instance.State.LIVE
        internal set

    /** The state as the instance list shows it. */
    var listedState = Instance.State.LIVE
        internal set

    /** Preemptions over all restarts. */
    var preemptions = 0L
        private set

    /** Returns the lagging load report, or null while the replica does not answer. */
    fun loadReport(): LoadReport? = if (engine.isDown(loop.nowMillis)) null else engine.loadReport(loop.nowMillis)

    /** Returns the visible cache events with sequence numbers above [afterSequence]. */
    fun cacheEvents(afterSequence: Long): List<CacheEvent> = engine.cacheEvents(afterSequence, loop.nowMillis)

    internal fun submit(request: ModelRequest): Submission {
        val submission = engine.submit(request, loop.nowMillis)
        if (submission == Submission.ACCEPTED && !isStepping) step()
        return submission
    }

    internal fun crash() = onEvents(this, engine.crash(loop.nowMillis))

    private fun step() {
        val startId = engine.startId
        val result = engine.step(loop.nowMillis)
        preemptions += result.events.count { it is ModelEvent.Preempted }
        isStepping = !result.isIdle
        if (result.isIdle) {
            if (result.events.isNotEmpty()) onEvents(this, result.events)
            return
        }
        loop.schedule(result.durationMillis) {
            // A crash during the step discards the tokens of the step.
            if (engine.startId == startId) onEvents(this, result.events)
            step()
        }
    }
}
