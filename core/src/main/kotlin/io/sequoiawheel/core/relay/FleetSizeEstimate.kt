package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/**
 * An upper estimate of the number of instances. Instances that are partitioned from this one still use their shares of
 * common limits, so the estimate is the maximum of the last two minutes. Confined to one thread.
 */
internal class FleetSizeEstimate(
    private val clock: Clock,
) {
    private var peak = 0
    private var peakMillis = 0L

    /** Updates the estimate with the [current] number and returns the recent maximum. */
    fun update(current: Int): Int {
        val now = clock.nowMillis()
        if (current >= peak || now - peakMillis > PeerRoster.FORGET_MILLIS) {
            peak = current
            peakMillis = now
        }
        return peak
    }

    companion object {
        /** Size of the largest planned fleet, which is assumed before any other instance is known. */
        const val LARGEST_PLANNED = 340
    }
}
