package io.sequoiawheel.core.memory

/**
 * How fast a peer must send a message.
 *
 * @property stallMillis longest time without any progress
 * @property totalMillis longest time for the whole message
 * @property minimumBytesPerSecond least average rate after the first [stallMillis]
 */
data class ProgressRule(
    val stallMillis: Long,
    val totalMillis: Long,
    val minimumBytesPerSecond: Long,
) {
    init {
        require(stallMillis > 0 && totalMillis > 0 && minimumBytesPerSecond >= 0) { "no time for a message: $this" }
    }
}

/** Applies a [ProgressRule] to one message whose transfer starts at [startMillis]. */
class ProgressTimer(
    private val rule: ProgressRule,
    private val startMillis: Long,
) {
    private var progressMillis = startMillis
    private var bytes = 0L

    /** Records that [count] bytes arrived. */
    fun record(
        count: Long,
        nowMillis: Long,
    ) {
        bytes += count
        progressMillis = nowMillis
    }

    /** Returns the time left until the rule is broken if no more bytes arrive; 0 if it is broken. */
    fun remainingMillis(nowMillis: Long): Long {
        val allowedByRate =
            if (rule.minimumBytesPerSecond == 0L) {
                rule.totalMillis
            } else {
                bytes * MILLIS_PER_SECOND / rule.minimumBytesPerSecond
            }
        val end =
            minOf(
                progressMillis + rule.stallMillis,
                startMillis + rule.totalMillis,
                startMillis + rule.stallMillis + allowedByRate,
            )
        return maxOf(end - nowMillis, 0)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
    }
}
