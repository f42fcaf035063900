package io.sequoiawheel.core.history

import io.sequoiawheel.core.history.internal.AnswerCheck
import io.sequoiawheel.core.history.internal.ConfigurationCheck
import io.sequoiawheel.core.history.internal.FindingCollector
import io.sequoiawheel.core.history.internal.PlacementCheck
import io.sequoiawheel.core.history.internal.ShutdownCheck
import io.sequoiawheel.core.history.internal.StreamCheck

/**
 * Checks the promises P1 to P9 against a recorded history. Events are ordered by time, and by order of recording where
 * times are equal. Request ids must be unique.
 */
class HistoryChecker(
    private val bounds: CheckBounds = CheckBounds(),
) {
    /** Returns the violations found in [history] and the number of facts checked. */
    fun check(history: List<HistoryEvent>): CheckResult {
        val events = history.sortedBy { it.atMillis }
        val findings = FindingCollector()
        StreamCheck(events, findings).run()
        PlacementCheck(events, bounds, findings).run()
        AnswerCheck(events, findings).run()
        ShutdownCheck(events, findings).run()
        ConfigurationCheck(events, bounds, findings).run()
        return findings.result()
    }
}
