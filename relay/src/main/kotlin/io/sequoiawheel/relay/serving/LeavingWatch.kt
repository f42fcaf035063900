package io.sequoiawheel.relay.serving

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.launch

/** Reports when the replica of one attempt leaves. */
internal class LeavingWatch(
    private val scope: CoroutineScope,
    private val signals: SendChannel<GenerationSignal>,
) {
    private var job: Job? = null

    /** Watches the replica of [attempt], and no other one any more. */
    fun start(attempt: GenerationAttempt) {
        stop()
        job =
            scope.launch {
                val reason = attempt.replica.awaitLeaving()
                signals.trySend(GenerationSignal.ReplicaLeaving(attempt, reason))
            }
    }

    /** Ends the watch. */
    fun stop() {
        job?.cancel()
    }
}
