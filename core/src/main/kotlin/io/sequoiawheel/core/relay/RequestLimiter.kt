/*
 * Keeps the requests of all instances to a replica within the limit that the replica names. The tolerance is that of
 * the platform: in any four seconds one and a half times what the limit allows, and five requests more.
 */
package io.sequoiawheel.core.relay

/** Decides when this instance may send requests to replicas that name a request limit. Confined to one thread. */
class RequestLimiter(
    private val fleet: FleetMembership,
) {
    /** Whether a request may be sent to [replica] now. Does not consume anything. */
    fun mayAdmit(replica: Replica): Boolean = waitMillis(replica) == 0L

    /**
     * Consumes the permission for one request to [replica], or returns false if there is none now, or stops of runs
     * wait for it.
     */
    fun tryAdmit(replica: Replica): Boolean = replica.waitingStops == 0 && tryAdmitStop(replica)

    /** Like [tryAdmit], for the stop of a run, which precedes other requests. */
    internal fun tryAdmitStop(replica: Replica): Boolean {
        val share = shareOf(replica) ?: return true
        return share.burst >= 1 && replica.limitedRate.tryTake(share.perSecond, share.burst)
    }

    /**
     * Returns the time until a request may be sent to [replica]; 0 if it may be now. If this instance holds no share of
     * the limit, this is the time after which another instance may send one.
     */
    fun waitMillis(replica: Replica): Long {
        val share = shareOf(replica) ?: return 0
        val intervalMillis = (MILLIS_PER_SECOND / effectiveRate(replica)).toLong()
        if (share.burst < 1) return intervalMillis
        val waitMillis = replica.limitedRate.millisUntilToken(share.perSecond, share.burst)
        return if (replica.waitingStops > 0) waitMillis + intervalMillis else waitMillis
    }

    /** Returns the share of this instance in the limit of [replica], or null if the replica names none. */
    private fun shareOf(replica: Replica): RateShare? {
        if (replica.requestLimit.perSecond == null) return null
        val perSecond = effectiveRate(replica)
        val burst = ((EXCESS_FACTOR - 1) * perSecond * WINDOW_SECONDS + MARGIN) * USED_SHARE
        return RateShare.of(replica.entry.id.value, perSecond, burst, fleet)
    }

    private fun effectiveRate(replica: Replica) =
        (replica.requestLimit.perSecond ?: 0.0).coerceAtLeast(MINIMUM_PER_SECOND)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val WINDOW_SECONDS = 4.0
        const val EXCESS_FACTOR = 1.5
        const val MARGIN = 5.0

        /** The rest of the tolerance covers instances that have not discovered each other and delayed requests. */
        const val USED_SHARE = 0.8

        /**
         * Rate of all instances at lower limits: only responses show that a limit has changed, and one request in four
         * seconds is within the tolerance of any limit.
         */
        const val MINIMUM_PER_SECOND = 0.25
    }
}
