/*
 * Decides whether a call that was passed on and ended without an answer is owed to something outside the instance.
 */
package io.sequoiawheel.soak.history

/** Bounds of a deployment, in milliseconds. */
data class CheckBounds(
    val contactMillis: Long,
    val drainMillis: Long,
    val graceMillis: Long,
    val overlapMillis: Long = DEFAULT_OVERLAP_MILLIS,
) {
    private companion object {
        /** How long the replica before may work on a stream that goes on elsewhere. */
        const val DEFAULT_OVERLAP_MILLIS = 400L
    }
}

/** Whether the disturbance lasted at some moment between [fromMillis] and [toMillis]. */
internal fun Disturbance.overlaps(
    fromMillis: Long,
    toMillis: Long,
): Boolean = this.fromMillis <= toMillis && this.toMillis >= fromMillis

internal class LossExcuses(
    private val disturbances: List<Disturbance>,
    private val timeoutMillis: (CallKind) -> Long,
    private val bounds: CheckBounds,
) {
    /** Returns what excuses the loss of [call], whose arrivals at replicas are [runs], or null if nothing does. */
    fun find(
        call: Call,
        runs: List<Run>,
    ): String? =
        when {
            runs.any { it.firstEnd == RunEnd.BROKEN_OFF } -> "the replica broke off"
            runs.any { run -> isDisturbed(call, run.replica, REPLICA_FAULTS) } -> "the replica's path was disturbed"
            isDisturbed(call, call.instance, setOf(DisturbanceKind.KILL)) -> "the instance was killed"
            isDisturbed(call, call.instance, setOf(DisturbanceKind.PAUSE)) -> "the instance was paused"
            isDisturbed(call, call.instance, setOf(DisturbanceKind.CALLER_PATH)) -> "the caller's path was disturbed"
            call.endMillis - call.sentMillis >= timeoutMillis(call.kind) -> "the timeout was reached"
            isOutlastingGrace(call, runs) -> "the replica worked until the end of the grace period"
            else -> null
        }

    /** A disturbance counts from its start until the contact time after its end. */
    private fun isDisturbed(
        call: Call,
        target: String,
        kinds: Set<DisturbanceKind>,
    ) = disturbances.any {
        it.kind in kinds &&
            it.target == target &&
            it.overlaps(call.sentMillis - bounds.contactMillis, call.endMillis)
    }

    private fun isOutlastingGrace(
        call: Call,
        runs: List<Run>,
    ) = disturbances.any { shutdown ->
        val lastSixthMillis = shutdown.fromMillis + bounds.graceMillis * LAST_SIXTH / SIXTHS
        shutdown.kind == DisturbanceKind.SHUTDOWN &&
            shutdown.target == call.instance &&
            call.sentMillis <= shutdown.fromMillis + EARLY_MILLIS &&
            call.endMillis >= lastSixthMillis &&
            runs.any { it.hasRun && (it.endMillis ?: Long.MAX_VALUE) >= lastSixthMillis }
    }

    private companion object {
        val REPLICA_FAULTS = setOf(DisturbanceKind.REPLICA_PATH, DisturbanceKind.REPLICA_CRASH)
        const val EARLY_MILLIS = 3_000L
        const val SIXTHS = 6
        const val LAST_SIXTH = 5
    }
}
