package io.sequoiawheel.experiment.policy

import io.sequoiawheel.experiment.simulation.DispatchPolicy

/** The policies that experiments compare. */
object Policies {
    /** Returns new baselines, one object per run. */
    fun baselines(): List<DispatchPolicy> =
        listOf(RoundRobinPolicy(), LeastOutstandingPolicy(), LeastReportedLoadPolicy(), TwoChoicesPolicy())
}
