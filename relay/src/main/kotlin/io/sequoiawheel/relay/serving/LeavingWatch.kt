package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.relay.LeaveReason
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.launch

/**
 * Reports when the replica of one attempt leaves, or when runs are to move off it.
 *
 * @param mayVacate whether a rollout can move runs off replicas that do not leave
 */
internal class LeavingWatch(
    private val scope: CoroutineScope,
    private val signals: SendChannel<GenerationSignal>,
    private val mayVacate: Boolean,
) {
    private var job: Job? = null
    private var vacationJob: Job? = null

    /** Watches the replica of [attempt], and no other one any more. */
    fun start(attempt: GenerationAttempt) {
        stop()
        job =
            scope.launch {
                val reason = attempt.replica.awaitLeaving()
                signals.trySend(GenerationSignal.ReplicaLeaving(attempt, reason))
            }
        if (!mayVacate) return
        vacationJob =
            scope.launch {
                attempt.replica.awaitVacated()
                signals.trySend(GenerationSignal.ReplicaLeaving(attempt, LeaveReason.SUPERSEDED))
            }
    }

    /** Ends the watch. */
    fun stop() {
        job?.cancel()
        vacationJob?.cancel()
    }
}
