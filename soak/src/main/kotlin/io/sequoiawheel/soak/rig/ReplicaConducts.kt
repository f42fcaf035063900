/*
 * What the replicas of a run do while faults of several kinds last.
 */
package io.sequoiawheel.soak.rig

import io.sequoiawheel.soak.plan.FaultKind
import io.sequoiawheel.soak.plan.PlannedFault
import io.sequoiawheel.standin.platform.ReplicaConduct
import io.sequoiawheel.standin.platform.StopConduct

/** @param usual what the replicas do without a fault */
class ReplicaConducts(
    private val sites: List<ReplicaSite>,
    private val usual: ReplicaConduct,
) {
    private val active = ArrayList<PlannedFault>()

    init {
        update()
    }

    /** Runs [body] while the replicas behave as [fault] says, besides what other faults make them do. */
    fun during(
        fault: PlannedFault,
        body: () -> Unit,
    ) {
        synchronized(this) { active += fault }
        update()
        try {
            body()
        } finally {
            synchronized(this) { active -= fault }
            update()
        }
    }

    @Synchronized
    private fun update() {
        val conduct = active.fold(usual) { conduct, fault -> CHANGES.getValue(fault.kind)(conduct, fault.variant) }
        sites.forEach { it.conduct = conduct }
    }

    companion object {
        /** Longer than the time after which refusals are repeated. */
        private const val LONG_WORK_MILLIS = 120L
        private const val SECOND_ANSWER_PERCENT = 50

        /** The first variant of a stubborn engine is stopped in a way that is drawn for each run. */
        private val STOP_CONDUCTS = listOf(null) + StopConduct.entries

        private val CHANGES: Map<FaultKind, (ReplicaConduct, Int) -> ReplicaConduct> =
            mapOf(
                FaultKind.REFUSAL to { usual, _ -> usual.copy(refusesFirst = true) },
                FaultKind.REPEATED_REFUSAL to { usual, _ ->
                    usual.copy(refusesFirst = true, repeatsRefusals = true, workMillis = LONG_WORK_MILLIS)
                },
                FaultKind.STREAM_BREAK to { usual, _ -> usual.copy(breaksStreams = true) },
                FaultKind.STREAM_BREAK_THEN_ERROR to { usual, _ ->
                    usual.copy(breaksStreams = true, failsResumed = true)
                },
                FaultKind.SECOND_ANSWER to { usual, _ ->
                    usual.copy(secondAnswerPercent = SECOND_ANSWER_PERCENT, failurePercent = 25, refusalPercent = 5)
                },
                FaultKind.STUBBORN_SOURCE to { usual, variant ->
                    usual.copy(isStubborn = true, stopConduct = STOP_CONDUCTS[variant % STOP_CONDUCTS.size])
                },
            )

        /** The kinds of faults that change what replicas do. */
        val KINDS: Set<FaultKind> = CHANGES.keys
    }
}
