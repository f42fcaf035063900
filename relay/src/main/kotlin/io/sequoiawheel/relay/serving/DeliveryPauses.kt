package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.model.Clock

/** Measures when the first event was delivered and the longest pause after it, for the log. */
internal class DeliveryPauses(
    private val clock: Clock,
    private val receivedAtMillis: Long,
) {
    private var firstMillis: Long? = null
    private var lastAtMillis = 0L
    private var longestMillis = 0L
    private var longestBefore: Long? = null

    /** Records the delivery of the event with [id]. */
    fun delivered(id: Long?) {
        val now = clock.nowMillis()
        if (firstMillis == null) {
            firstMillis = now - receivedAtMillis
        } else if (now - lastAtMillis > longestMillis) {
            longestMillis = now - lastAtMillis
            longestBefore = id
        }
        lastAtMillis = now
    }

    /** Returns the measurements under the names of the log. */
    fun notes(): Map<String, Any?> =
        mapOf(
            "firstEventMilliseconds" to firstMillis,
            "longestPauseMilliseconds" to longestMillis.takeIf { firstMillis != null },
            "longestPauseBefore" to longestBefore,
        )
}
