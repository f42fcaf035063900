package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.model.Clock

/** Measures the time to the first delivered event and the longest interval between events, for the request log. */
internal class DeliveryTiming(
    private val clock: Clock,
    private val receivedAtMillis: Long,
) {
    private var firstEventMillis: Long? = null
    private var lastDeliveryMillis = 0L
    private var longestIntervalMillis = 0L
    private var longestIntervalBeforeId: Long? = null

    /** Records the delivery of the event with [id]. */
    fun recordDelivery(id: Long?) {
        val now = clock.nowMillis()
        if (firstEventMillis == null) {
            firstEventMillis = now - receivedAtMillis
        } else if (now - lastDeliveryMillis > longestIntervalMillis) {
            longestIntervalMillis = now - lastDeliveryMillis
            longestIntervalBeforeId = id
        }
        lastDeliveryMillis = now
    }

    /** Returns the measurements, keyed by their log field names. */
    fun logFields(): Map<String, Any?> =
        mapOf(
            "firstEventMilliseconds" to firstEventMillis,
            "longestPauseMilliseconds" to longestIntervalMillis.takeIf { firstEventMillis != null },
            "longestPauseBefore" to longestIntervalBeforeId,
        )
}
