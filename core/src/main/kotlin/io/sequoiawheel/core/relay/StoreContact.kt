package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/**
 * Tells outages of the platform's store by the proofs that it was reachable: an outage is a time without a proof that
 * is long enough for entries to expire, since the replicas could not renew them. A failed call is no outage by itself:
 * a watch may be cut off, and the instance through which the store is watched may end. Confined to one thread.
 */
class StoreContact(
    private val clock: Clock,
) {
    private var provenAtMillis: Long? = null
    private var outageEndedMillis: Long? = null

    /** Whether an outage ended so recently that live replicas may not have registered again. */
    val isAfterOutage: Boolean
        get() = outageEndedMillis?.let { clock.nowMillis() - it <= REREGISTRATION_MILLIS } ?: false

    /** Time since the last outage ended, or 0 if there was none. */
    val sinceOutageMillis: Long get() = outageEndedMillis?.let { clock.nowMillis() - it } ?: 0

    /** Records that the store was reachable at [millis], by this instance or by the one that it watches. */
    fun recordProof(millis: Long) {
        val before = provenAtMillis
        if (before != null && millis - before >= MINIMUM_OUTAGE_MILLIS) outageEndedMillis = clock.nowMillis()
        provenAtMillis = maxOf(before ?: millis, millis)
    }

    companion object {
        /**
         * Entries expire after about 4 s without renewal. Without an outage, proofs are at most 2.4 s apart, the
         * longest wait of a watch of the configuration.
         */
        internal const val MINIMUM_OUTAGE_MILLIS = 3_000L

        /** Live replicas register again within about 2 s after the store becomes available. */
        internal const val REREGISTRATION_MILLIS = 2_000L
    }
}
