/*
 * Finds streams that go on at another replica while the replica before still works on them.
 */
package io.sequoiawheel.soak.history

internal class MoveCheck(
    private val history: History,
    private val bounds: CheckBounds,
) {
    private val runs = history.runs.filter { it.hasRun }.groupBy { it.requestId }

    fun check(): List<Violation> =
        history.calls.mapNotNull { call ->
            val all = runs[call.requestId].orEmpty()
            val overlapping =
                all.filter { it.goesOn }.firstNotNullOfOrNull { next ->
                    all.firstOrNull { isStillRun(it, next) && !isDisturbed(call, it, next) }?.let { it to next }
                }
            overlapping?.let { (before, next) -> describeOverlap(call, before, next, all) }
        }

    private val Run.goesOn get() = (isContinuation || resumedAfter != null) && !hasFailedAtOnce

    /** Whether nothing went on there: the replica failed, and stopped its work, within the allowed time. */
    private val Run.hasFailedAtOnce
        get() = end == RunEnd.BROKEN_OFF && endMillis?.let { it - startMillis <= bounds.overlapMillis } == true

    /** Whether the replica of [before] still works when [next] has gone on for the allowed time. */
    private fun isStillRun(
        before: Run,
        next: Run,
    ) = before !== next &&
        before.replica != next.replica &&
        before.startMillis <= next.startMillis &&
        (before.endMillis ?: Long.MAX_VALUE) > next.startMillis + bounds.overlapMillis

    private fun isDisturbed(
        call: Call,
        before: Run,
        next: Run,
    ) = history.disturbances.any {
        val isConcerned =
            when (it.kind) {
                DisturbanceKind.STORE -> true
                DisturbanceKind.REPLICA_PATH -> it.target == before.replica
                in INSTANCE_FAULTS -> it.target == call.instance
                else -> false
            }
        val fromMillis = next.startMillis - bounds.contactMillis
        isConcerned && it.overlaps(fromMillis, next.startMillis + bounds.overlapMillis)
    }

    private fun describeOverlap(
        call: Call,
        before: Run,
        next: Run,
        all: List<Run>,
    ): Violation {
        val lateMillis = before.endMillis?.let { "${it - next.startMillis} ms" } ?: "to the end of the record"
        val how = if (next.isContinuation) "from a copy" else "after event ${next.resumedAfter}"
        val detail = "${before.replica} worked on for $lateMillis beside ${next.replica} $how"
        val caller = "caller ${call.end} at ${call.endMillis}"
        return violation(Promise.TWICE, call, "$detail, $caller; ${describe(all)}")
    }

    private companion object {
        val INSTANCE_FAULTS =
            setOf(
                DisturbanceKind.KILL,
                DisturbanceKind.SHUTDOWN,
                DisturbanceKind.PAUSE,
                DisturbanceKind.CALLER_PATH,
            )
    }
}
