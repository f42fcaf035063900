/*
 * The age of what an instance reads through the hub of its zone. An instance may act on a list or a configuration only
 * for as long as the strictest bound on changes allows, whatever happens to the hub: cut off from the store or from the
 * instance, silent, slow or refusing. The instance measures the age itself, by the proofs that the hub passes on, and
 * reads the store as soon as the age leaves just enough time for that.
 */
package io.sequoiawheel.core.relay

/**
 * The times of a watch through a hub, in milliseconds.
 *
 * @property confirmationMillis longest time after which a hub confirms its state at the store again
 * @property maximumAgeMillis age of the last confirmation at which an instance leaves its hub
 */
data class HubTiming(
    val confirmationMillis: Long,
    val maximumAgeMillis: Long,
) {
    companion object {
        /** Returns the times for [bounds], of which the time for draining and the one for a configuration count. */
        fun of(bounds: ServiceBounds): HubTiming {
            val strictestMillis = minOf(bounds.drainMillis, bounds.configurationMillis)
            return HubTiming(
                minOf(MAXIMUM_CONFIRMATION_MILLIS, (strictestMillis * CONFIRMATION_SHARE).toLong()),
                (strictestMillis * AGE_SHARE).toLong(),
            )
        }

        /** Each confirmation is a call to the store. */
        private const val MAXIMUM_CONFIRMATION_MILLIS = 1_000L
        private const val CONFIRMATION_SHARE = 0.5

        /** The rest is for a call to the store, which may fail once, and the application of the changes. */
        private const val AGE_SHARE = 0.75
    }
}
