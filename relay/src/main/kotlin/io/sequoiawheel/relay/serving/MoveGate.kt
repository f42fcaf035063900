package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.relay.Continuation
import io.sequoiawheel.core.relay.LeaveCause
import io.sequoiawheel.core.relay.RunDecision

/**
 * Lets a generation leave a replica whose stream is still read, as [RunsLeft.places] decides, and remembers that it has
 * to wait.
 *
 * @param supportsMigration whether the replicas copy runs on request
 */
internal class MoveGate(
    private val context: RelayContext,
    private val attempts: GenerationAttempts,
    private val runsLeft: RunsLeft,
    private val log: GenerationLog,
    private val supportsMigration: Boolean,
) {
    private var held: GenerationAttempt? = null

    /** Whether [source] is to be left, but was not allowed to be. */
    fun isHeld(source: GenerationAttempt): Boolean = held === source

    /** Returns how the generation can leave [source] now for [cause], or null if it has to stay. */
    fun tryLeave(
        source: GenerationAttempt,
        cause: LeaveCause,
    ): Continuation? {
        val waitMillis = context.waitMillis(source.replica)
        val mayCopy = cause == LeaveCause.NOTICE && supportsMigration
        val continuation =
            when {
                attempts.usableBackup(source) != null -> Continuation.BACKUP
                mayCopy && waitMillis == 0L -> Continuation.COPY
                else -> Continuation.NONE
            }
        // Nothing is reserved for a generation that cannot go on.
        val isHeldBack = continuation == Continuation.NONE && mayCopy
        return continuation.takeIf { mayLeave(source, cause, it, isHeldBack) }
    }

    /** Whether the generation may leave [source] by going on from a copy that was made of its run. */
    fun mayContinueFromCopy(source: GenerationAttempt): Boolean =
        mayLeave(source, LeaveCause.NOTICE, Continuation.COPY, isHeldBack = false)

    private fun mayLeave(
        source: GenerationAttempt,
        cause: LeaveCause,
        continuation: Continuation,
        isHeldBack: Boolean,
    ): Boolean {
        val answer = if (continuation == Continuation.NONE) null else runsLeft.reserveStop(source.replica)
        val mayLeave = runsLeft.places.decide(cause, answer, continuation, waitedMillis = 0) == RunDecision.GO_ON
        val isNewlyHeld = !mayLeave && !isHeld(source) && (isHeldBack || answer != null)
        if (isNewlyHeld) log.recordHeldMove(source.replica, context.waitMillis(source.replica))
        held = source.takeIf { !mayLeave }
        return mayLeave
    }
}
