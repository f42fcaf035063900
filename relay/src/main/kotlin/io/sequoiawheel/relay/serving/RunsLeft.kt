package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.relay.Replica

/**
 * The replicas that may still run a generation although nothing reads their stream any more. They are stopped once the
 * generation goes on elsewhere; until then a copy of their run may be needed.
 *
 * @param requestId id of the generation, or null if it has none and cannot be named to a replica
 * @param isInUse whether the generation currently runs at a replica
 */
internal class RunsLeft(
    private val stopper: RunStopper,
    private val requestId: String?,
    private val isInUse: (Replica) -> Boolean,
) {
    /** The replicas, with the time at which the stream was left. */
    private val sources = LinkedHashMap<Replica, Long>()

    /** Records that the stream of [attempt] is not read any more and that no response proved the end of its run. */
    fun add(attempt: GenerationAttempt) {
        if (!attempt.isSent) return
        attempt.recordLeft()
        sources.putIfAbsent(attempt.replica, stopper.nowMillis())
    }

    /** Stops the recorded runs, since the generation goes on at [destination]. */
    fun stopAll(destination: Replica) {
        if (requestId == null) return
        for ((source, leftAtMillis) in sources) {
            if (source !== destination) stopper.stop(requestId, source, destination, leftAtMillis) { isInUse(source) }
        }
        sources.clear()
    }
}
