package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.relay.Continuation
import io.sequoiawheel.core.relay.LeaveCause
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.RunDecision
import io.sequoiawheel.core.relay.RunPlaces
import io.sequoiawheel.core.relay.StopAnswer
import io.sequoiawheel.core.relay.StopPermit

/**
 * Stops the runs of one generation that [places] keeps, once the generation goes on elsewhere, or ends; until then a
 * copy of their run may be needed.
 *
 * @param requestId id of the generation, or null if it has none and cannot be named to a replica
 * @param deadlineMillis when the replicas end the generation by themselves
 * @param isInUse whether the generation currently runs at a replica
 */
internal class RunsLeft(
    private val stopper: RunStopper,
    private val requestId: String?,
    private val deadlineMillis: Long,
    private val isInUse: (Replica) -> Boolean,
) {
    /** Where the generation may be at work although nothing reads its stream. */
    val places = RunPlaces<Replica>()
    private val permits = HashMap<Replica, StopPermit>()
    private var hasEnded = false

    /**
     * Reserves the stop of the run at [source]. Returns [StopAnswer.HELD_BACK] if the replica would not accept it, or
     * else null.
     */
    fun reserveStop(source: Replica): StopAnswer? {
        if (requestId == null || permitFor(source).reserve()) return null
        return StopAnswer.HELD_BACK
    }

    /** Records that the stream of [attempt] is not read any more, unless a response proved the end of its run. */
    fun add(attempt: GenerationAttempt) {
        if (!attempt.isSent) return
        places.involve(attempt.replica)
        if (attempt.isExchangeComplete) return
        attempt.recordLeft()
        if (requestId != null) places.leave(attempt.replica, attempt.hasStarted, stopper.nowMillis())
    }

    /**
     * Stops the run at [source], whose stream broke off, by moving it to [destination] before the generation goes on by
     * [continuation]. If its end cannot be proven soon, it is stopped with the others, once the generation goes on.
     */
    suspend fun stopFirst(
        source: Replica,
        destination: Replica,
        continuation: Continuation,
    ): RunDecision {
        val run = leftRun(source) ?: return RunDecision.GO_ON
        val releasesCopy = continuation != Continuation.BACKUP
        val result =
            stopper.stopFirst(run, destination, releasesCopy) { answer, waitedMillis ->
                places.decide(LeaveCause.BREAK, answer, continuation, waitedMillis)
            }
        if (result.isProven) settle(source)
        return result.decision
    }

    /** Whether a run was left that is not being stopped yet. */
    val isPending: Boolean get() = places.unstopped.isNotEmpty()

    /**
     * Stops the recorded runs, since the generation goes on at [destination].
     *
     * @param mayWaitForCopy whether [destination] may yet need the copy from which the generation is to go on there
     */
    fun stopAll(
        destination: Replica,
        mayWaitForCopy: Boolean = false,
    ) {
        places.involve(destination)
        stopAll(releasesCopy = !mayWaitForCopy) { destination }
    }

    /**
     * Stops the recorded runs and those of [attempts], since the generation has ended. A run can only be stopped by
     * moving it, so that of a generation that a single replica ran is left to the close of its connection.
     */
    fun stopAtEnd(attempts: List<GenerationAttempt>) {
        attempts.forEach(::add)
        hasEnded = true
        stopAll(releasesCopy = true, places::lastOther)
        permits.values.forEach { it.close() }
    }

    private fun stopAll(
        releasesCopy: Boolean,
        destination: (Replica) -> Replica?,
    ) {
        for (source in places.unstopped) {
            val run = leftRun(source) ?: continue
            settle(source)
            val target = destination(source)?.takeIf { it !== source }
            if (target == null) {
                run.permit.close()
            } else {
                stopper.stop(run, target, releasesCopy) { !hasEnded && isInUse(source) }
            }
        }
    }

    private fun leftRun(source: Replica): LeftRun? {
        val run = places.unread(source) ?: return null
        return LeftRun(
            checkNotNull(requestId),
            source,
            run.hasStarted,
            deadlineMillis,
            run.leftAtMillis,
            permitFor(source),
        )
    }

    private fun permitFor(source: Replica) = permits.getOrPut(source) { stopper.permit(source) }

    /** Forgets the run at [source], which has ended or is being stopped; a later run there has another permission. */
    private fun settle(source: Replica) {
        places.settle(source)
        permits.remove(source)
    }
}
