package io.sequoiawheel.core.history.internal

import io.sequoiawheel.core.history.CheckResult
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.history.Violation

/** Collects what the checks decide. */
internal class Verdicts {
    private val violations = mutableListOf<Violation>()
    private val examined = Promise.entries.associateWithTo(linkedMapOf()) { 0 }

    /** Counts one fact about [promise], and a violation unless [holds]. */
    fun decide(
        promise: Promise,
        holds: Boolean,
        detail: () -> String,
    ) {
        examined.merge(promise, 1, Int::plus)
        if (!holds) violations += Violation(promise, detail())
    }

    fun result() = CheckResult(violations.toList(), examined.toMap())
}
