package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.model.Clock

/** Measures the time to the first delivered event and the longest pause between later events, for the request log. */
internal class DeliveryPauses(
    private val clock: Clock,
    private val receivedAtMillis: Long,
) {
    private var firstEventMillis: Long? = null
    private var lastDeliveryMillis = 0L
    private var longestPauseMillis = 0L
    private var longestPauseBeforeId: Long? = null

    /** Records the delivery of the event with [id]. */
    fun recordDelivery(id: Long?) {
        val now = clock.nowMillis()
        if (firstEventMillis == null) {
            firstEventMillis = now - receivedAtMillis
        } else if (now - lastDeliveryMillis > longestPauseMillis) {
            longestPauseMillis = now - lastDeliveryMillis
            longestPauseBeforeId = id
        }
        lastDeliveryMillis = now
    }

    /** Returns the measurements, keyed by their log field names. */
    fun logFields(): Map<String, Any?> =
        mapOf(
            "firstEventMilliseconds" to firstEventMillis,
            "longestPauseMilliseconds" to longestPauseMillis.takeIf { firstEventMillis != null },
            "longestPauseBefore" to longestPauseBeforeId,
        )
}
