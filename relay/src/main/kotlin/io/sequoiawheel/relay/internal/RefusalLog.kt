package io.sequoiawheel.relay.internal

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.relay.http.RefusalReason

/**
 * Logs refused callers: at most one line for each reason in [INTERVAL_MILLIS], with the number of callers since the
 * line before, so that a crowd does not displace other lines.
 */
internal class RefusalLog(
    private val clock: Clock,
    private val log: DecisionLog,
) {
    private class Count {
        var callers = 0
        var loggedMillis: Long? = null
    }

    private val counts = HashMap<RefusalReason, Count>()

    fun record(reason: RefusalReason) {
        val nowMillis = clock.nowMillis()
        val count = counts.getOrPut(reason) { Count() }
        count.callers++
        if (count.loggedMillis.let { it != null && nowMillis - it < INTERVAL_MILLIS }) return
        log.request("callers refused", mapOf("reason" to reason.label, "callers" to count.callers))
        count.callers = 0
        count.loggedMillis = nowMillis
    }

    private companion object {
        const val INTERVAL_MILLIS = 1_000L
    }
}
