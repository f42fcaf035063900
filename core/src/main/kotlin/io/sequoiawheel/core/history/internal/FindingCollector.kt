package io.sequoiawheel.core.history.internal

import io.sequoiawheel.core.history.CheckResult
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.history.Violation

/** Collects the violations found by the checks and counts the checked facts. */
internal class FindingCollector {
    private val violations = mutableListOf<Violation>()
    private val examined = Promise.entries.associateWithTo(linkedMapOf()) { 0 }

    /** Counts one checked fact of [promise], and adds a violation unless [holds]. */
    fun record(
        promise: Promise,
        holds: Boolean,
        detail: () -> String,
    ) {
        examined.merge(promise, 1, Int::plus)
        if (!holds) violations += Violation(promise, detail())
    }

    fun result() = CheckResult(violations.toList(), examined.toMap())
}
