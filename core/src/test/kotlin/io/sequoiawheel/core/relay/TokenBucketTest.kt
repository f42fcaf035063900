package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class TokenBucketTest {
    private var nowMillis = 0L
    private val bounds = ServiceBounds(3_000, 2_000, 8.0, 5_000, 0.2, 54, 10_000, coldExcess = 1.5, coldMargin = 5.0)

    /** Lets [instances] send at their full rate and checks the limit in one-second windows. */
    private fun assertWithinBound(instances: Int) {
        val share = ColdShare.of(COLD_PER_SECOND, bounds, instances)
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(11L)
        val buckets = (1..instances).map { TokenBucket({ nowMillis }, random.nextDouble()) }
        val sent = ArrayList<Long>()
        repeat(5_000) {
            nowMillis += 1
            buckets.forEach { bucket -> if (bucket.tryTake(share.perSecond, share.burst)) sent += nowMillis }
        }
        val allowed = COLD_PER_SECOND * bounds.coldExcess + bounds.coldMargin
        for (end in 1_000L..5_000L step 100) {
            val inSecond = sent.count { it > end - 1_000 && it <= end }
            assertTrue(inSecond <= allowed, "$inSecond requests in the second before $end ms, $allowed allowed")
        }
    }

    @Test
    fun `7 instances together stay within the limit of a cold replica in any second`() = assertWithinBound(7)

    @Test
    fun `74 instances together stay within the limit of a cold replica in any second`() = assertWithinBound(74)

    // Shares below one request add up beyond the limit if every idle instance saves up one request.
    @Test
    fun `74 instances stay within the limit of a replica that becomes cold after an idle time`() {
        val share = ColdShare.of(COLD_PER_SECOND, bounds, instances = 74)
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(11L)
        val entry = ReplicaEntry(InstanceId("r"), ServiceName("s"), "h", 1, ZoneName("a"), 6, false, 0, 1)
        val replicas = List(74) { Replica(entry, random.nextDouble()) { nowMillis } }
        repeat(2) {
            nowMillis += 60_000
            replicas.forEach { it.coldFor(5_000) }
            val admitted = replicas.count { it.coldRate.tryTake(share.perSecond, share.burst) }
            val allowed = COLD_PER_SECOND * bounds.coldExcess + bounds.coldMargin
            assertTrue(admitted <= allowed, "$admitted requests at once, $allowed allowed in a second")
        }
    }

    @Test
    fun `an empty bucket refills at the given rate`() {
        val bucket = TokenBucket({ nowMillis })
        assertTrue(bucket.tryTake(2.0, 1.0))
        nowMillis = 499
        assertFalse(bucket.tryTake(2.0, 1.0))
        nowMillis = 501
        assertTrue(bucket.tryTake(2.0, 1.0))
    }

    private companion object {
        const val COLD_PER_SECOND = 37.0
    }
}
