/*
 * Division of a rate limit that all instances use together. No instance asks another for permission: each computes its
 * own share from the instances that it knows, so shares hold while instances cannot reach each other.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.membership.RendezvousHashing
import io.sequoiawheel.core.model.InstanceId
import org.apache.commons.codec.digest.MurmurHash3

/**
 * The share of one instance in a common rate limit.
 *
 * @property perSecond sustained requests per second
 * @property burst requests allowed at once, at least 1; 0 if the instance may send none
 */
data class RateShare(
    val perSecond: Double,
    val burst: Double,
) {
    companion object {
        /** The share of an instance that may send no requests. */
        val NOTHING = RateShare(0.0, 0.0)

        /**
         * Returns the share of this instance in a limit of [perSecond] requests with [burst] more at once.
         *
         * If the instances outnumber the burst, equal shares would either be below one request or exceed the burst
         * together once all of them are idle. Then only some instances hold a share: each availability zone has holders
         * in proportion to its instances, which are selected by a hash of [key], so that different limits have
         * different holders.
         */
        fun of(
            key: String,
            perSecond: Double,
            burst: Double,
            fleet: FleetMembership,
        ): RateShare {
            val count = fleet.instanceCount.coerceAtLeast(1)
            if (burst >= count) return RateShare(perSecond / count, burst / count)
            val zoneShare = (fleet.zoneInstances.size.toDouble() / count).coerceAtMost(1.0)
            val expectedHolders = burst * zoneShare
            val holders = expectedHolders.toInt().coerceAtLeast(1)
            if (expectedHolders < 1 && zoneFraction(key, fleet.zone.value) >= expectedHolders) return NOTHING
            val instances = fleet.zoneInstances.map(::InstanceId)
            if (InstanceId(fleet.selfName) !in RendezvousHashing.subset(key, instances, holders)) return NOTHING
            return RateShare(perSecond * zoneShare / minOf(expectedHolders, holders.toDouble()), burst = 1.0)
        }

        /** Returns a number from 0 to 1 that all instances of a zone compute alike. */
        private fun zoneFraction(
            key: String,
            zone: String,
        ): Double {
            val hash = MurmurHash3.hash128x64("${key.length}:$key$zone".encodeToByteArray())[0]
            return (hash ushr UNUSED_BITS).toDouble() / (1L shl (Long.SIZE_BITS - UNUSED_BITS))
        }

        /** A double represents integers of 53 bits exactly. */
        private const val UNUSED_BITS = 11
    }
}
