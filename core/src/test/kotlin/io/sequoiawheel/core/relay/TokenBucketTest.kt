package io.sequoiawheel.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class TokenBucketTest {
    private var nowMillis = 0L

    @Test
    fun `seven instances together stay within what a cold replica bears in any second`() {
        val share = 37.0 / 7
        val buckets = (1..7).map { TokenBucket { nowMillis } }
        val sent = ArrayList<Long>()
        repeat(5_000) {
            nowMillis += 1
            buckets.forEach { bucket -> if (bucket.tryTake(share, maxOf(1.0, share * 1.5 / 2))) sent += nowMillis }
        }
        for (end in 1_000L..5_000L step 100) {
            val inSecond = sent.count { it > end - 1_000 && it <= end }
            assertTrue(inSecond <= 37 * 1.5 + 5, "$inSecond requests in the second before $end ms")
        }
    }

    @Test
    fun `an empty bucket refills with the rate`() {
        val bucket = TokenBucket { nowMillis }
        assertTrue(bucket.tryTake(2.0, 1.0))
        nowMillis = 499
        assertEquals(false, bucket.tryTake(2.0, 1.0))
        nowMillis = 501
        assertTrue(bucket.tryTake(2.0, 1.0))
    }
}
