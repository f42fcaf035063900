package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/**
 * An upper estimate of the number of instances. Instances that are cut off still use their shares of common bounds, so
 * the largest number of the last minutes counts. Confined to one thread.
 */
internal class FleetCount(
    private val clock: Clock,
) {
    private var peak = 0
    private var peakMillis = 0L

    /** Returns the largest number lately, [current] included. */
    fun atLeast(current: Int): Int {
        val now = clock.nowMillis()
        if (current >= peak || now - peakMillis > PeerRoster.FORGET_MILLIS) {
            peak = current
            peakMillis = now
        }
        return peak
    }

    companion object {
        /** Assumed before anything is known of the others: the largest fleet that is planned for. */
        const val UNKNOWN = 340
    }
}
