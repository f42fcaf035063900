package io.sequoiawheel.core.relay

/**
 * What one of several instances may send to a cold replica, so that all together stay within what it bears in any
 * second.
 *
 * @property perSecond sustained requests a second
 * @property burst requests beside them in one second, also in the first one
 */
data class ColdShare(
    val perSecond: Double,
    val burst: Double,
) {
    companion object {
        /** A part of the excess stays unused, since instances may not know of each other yet. */
        private const val USED_SHARE = 0.8

        /** Returns the share of one of [instances] in a replica that bears [perSecond] while it is cold. */
        fun of(
            perSecond: Double,
            bounds: ServiceBounds,
            instances: Int,
        ): ColdShare {
            val count = instances.coerceAtLeast(1)
            val excess = (bounds.coldExcess - 1) * perSecond + bounds.coldMargin
            return ColdShare(perSecond / count, excess * USED_SHARE / count)
        }
    }
}
