package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.StopPermit

/**
 * The replicas that may still run a generation although nothing reads their stream any more. They are stopped once the
 * generation goes on elsewhere, or ends; until then a copy of their run may be needed.
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
    /** The runs that may go on, by their replicas. */
    private val sources = LinkedHashMap<Replica, LeftRun>()

    /** All replicas that may have run the generation, in the order in which they were left. */
    private val involved = LinkedHashSet<Replica>()
    private val permits = HashMap<Replica, StopPermit>()
    private var hasEnded = false

    /**
     * Reserves the stop of the run at [source], from which the generation is to move. Returns false if the run has to
     * stay, since the replica would not accept its stop.
     */
    fun reserveStop(source: Replica): Boolean =
        requestId == null || permits.getOrPut(source) { stopper.permit(source) }.reserve()

    /** Records that the stream of [attempt] is not read any more and that no response proved the end of its run. */
    fun add(attempt: GenerationAttempt) {
        if (!attempt.isSent) return
        involved += attempt.replica
        if (attempt.isExchangeComplete) return
        attempt.recordLeft()
        if (requestId == null) return
        val replica = attempt.replica
        val permit = permits.remove(replica) ?: stopper.permit(replica)
        sources[replica]?.permit?.close()
        sources[replica] =
            LeftRun(requestId, replica, attempt.hasStarted, deadlineMillis, stopper.nowMillis(), permit)
    }

    /** Whether the run at [source] was left and is not being stopped yet. */
    operator fun contains(source: Replica): Boolean = source in sources

    /**
     * Stops the run that was left at [source] by moving it to [destination], before the generation goes on. If its end
     * cannot be proven soon, it is stopped with the others, once the generation goes on. Returns whether it may go on.
     *
     * @param isBackup whether [destination] holds the copy from which the generation is to go on
     */
    suspend fun stopFirst(
        source: Replica,
        destination: Replica,
        isBackup: Boolean,
    ): Boolean {
        val run = sources[source] ?: return true
        val result = stopper.stopFirst(run, destination, releasesCopy = !isBackup)
        if (result == FirstStop.PROVEN) sources.remove(source)
        return result != FirstStop.HELD_BACK
    }

    /** Whether a run was left that is not being stopped yet. */
    val isPending: Boolean get() = sources.isNotEmpty()

    /**
     * Stops the recorded runs, since the generation goes on at [destination].
     *
     * @param mayWaitForCopy whether [destination] may yet need the copy from which the generation is to go on there
     */
    fun stopAll(
        destination: Replica,
        mayWaitForCopy: Boolean = false,
    ) {
        involved += destination
        stopAll(releasesCopy = !mayWaitForCopy) { destination }
    }

    /**
     * Stops the recorded runs and those of [attempts], since the generation has ended. A run can only be stopped by
     * moving it, so that of a generation that a single replica ran is left to the close of its connection.
     */
    fun stopAtEnd(attempts: List<GenerationAttempt>) {
        attempts.forEach(::add)
        hasEnded = true
        stopAll(releasesCopy = true) { source -> involved.lastOrNull { it !== source } }
        permits.values.forEach { it.close() }
    }

    private fun stopAll(
        releasesCopy: Boolean,
        destination: (Replica) -> Replica?,
    ) {
        for ((source, run) in sources) {
            val target = destination(source)?.takeIf { it !== source }
            if (target == null) {
                run.permit.close()
                continue
            }
            stopper.stop(run, target, releasesCopy) { !hasEnded && isInUse(source) }
        }
        sources.clear()
    }
}
