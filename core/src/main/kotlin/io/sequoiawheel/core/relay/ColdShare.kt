package io.sequoiawheel.core.relay

/**
 * The share of a cold replica's request rate that one instance may use, so that all instances together stay within
 * the rate limit of the replica in any second.
 *
 * @property perSecond sustained requests per second
 * @property burst additional requests allowed in any one second, including the first
 */
data class ColdShare(
    val perSecond: Double,
    val burst: Double,
) {
    companion object {
        /** Leaves part of the excess unused, since instances may not have discovered each other yet. */
        private const val USED_SHARE = 0.8

        /**
         * Returns the share of each of [instances] in a replica that accepts [perSecond] requests per second while
         * cold.
         */
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
