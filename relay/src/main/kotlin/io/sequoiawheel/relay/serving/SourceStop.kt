package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.relay.Continuation
import io.sequoiawheel.core.relay.RelayService
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.relay.filter.Exchange
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.launch

/**
 * Stops a run whose stream broke off before its generation goes on elsewhere. Nothing of the stream is read any more,
 * so the caller gains nothing from a replica that works on beside the next one, and a replica may refuse to stop for
 * longer than both may work. A run whose stream is still read is stopped after the move instead, which does not
 * interrupt the stream.
 */
internal class SourceStop(
    private val context: RelayContext,
    private val attempts: GenerationAttempts,
    private val copier: RunCopier,
    private val runsLeft: RunsLeft,
    private val exchange: Exchange,
    private val service: RelayService,
    private val scope: CoroutineScope,
    private val signals: SendChannel<GenerationSignal>,
) {
    /**
     * Starts to stop the run of [attempt], whose connection failed with [detail], and sends
     * [GenerationSignal.SourceStopped] when the generation may go on. Returns false if the run cannot be stopped, or
     * the generation cannot go on.
     *
     * @param abandoned replicas that the run is not moved to
     * @param mayRepeat whether a repeatable route allows another attempt after what was delivered
     */
    fun start(
        attempt: GenerationAttempt,
        detail: String,
        abandoned: Set<Replica>,
        mayRepeat: Boolean,
    ): Boolean {
        val isRepeatable = checkNotNull(exchange.route).isRepeatable
        val backup = attempts.usableBackup(attempt)
        if (if (isRepeatable) !mayRepeat else backup == null) return false
        if (attempt.replica !in runsLeft.places || context.outcomes.isSuspected(exchange)) return false
        val destination =
            backup
                ?: copier.chooseDestination(attempt.replica, abandoned, service, exchange.demand)
                ?: return false
        scope.launch {
            val continuation = if (backup != null) Continuation.BACKUP else Continuation.NEW_ATTEMPT
            val decision = runsLeft.stopFirst(attempt.replica, destination, continuation)
            signals.trySend(GenerationSignal.SourceStopped(attempt, detail, decision))
        }
        return true
    }
}
