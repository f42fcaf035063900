package io.sequoiawheel.core.history

import io.sequoiawheel.core.history.internal.AnswerCheck
import io.sequoiawheel.core.history.internal.ConfigurationCheck
import io.sequoiawheel.core.history.internal.PlacementCheck
import io.sequoiawheel.core.history.internal.ShutdownCheck
import io.sequoiawheel.core.history.internal.StreamCheck
import io.sequoiawheel.core.history.internal.Verdicts

/**
 * Decides the promises P1 to P9 on a recorded history. Events are taken in the order of their times, and in the order
 * of recording where the times are equal. Request ids must be unique.
 */
class HistoryChecker(
    private val bounds: CheckBounds = CheckBounds(),
) {
    /** Returns every violation that [history] shows. */
    fun check(history: List<HistoryEvent>): CheckResult {
        val events = history.sortedBy { it.atMillis }
        val verdicts = Verdicts()
        StreamCheck(events, verdicts).run()
        PlacementCheck(events, bounds, verdicts).run()
        AnswerCheck(events, verdicts).run()
        ShutdownCheck(events, verdicts).run()
        ConfigurationCheck(events, bounds, verdicts).run()
        return verdicts.result()
    }
}
