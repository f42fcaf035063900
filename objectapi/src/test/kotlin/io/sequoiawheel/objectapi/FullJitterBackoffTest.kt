package io.sequoiawheel.objectapi

import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FullJitterBackoffTest {
    /** Guards against delays over 20 s, and against delays that cluster at the ceiling and synchronize the daemons. */
    @Test
    fun `delays are spread over the whole range and never exceed the ceiling`() {
        val backoff = FullJitterBackoff(RandomSource.XO_RO_SHI_RO_128_PP.create(7L))
        val first = backoff.nextDelayMillis()
        assertTrue(first in 0..FullJitterBackoff.INITIAL_CEILING_MILLIS)
        repeat(8) { backoff.nextDelayMillis() }
        val late = List(1000) { backoff.nextDelayMillis() }
        assertTrue(late.all { it in 0..FullJitterBackoff.MAXIMUM_CEILING_MILLIS })
        assertTrue(late.count { it < FullJitterBackoff.MAXIMUM_CEILING_MILLIS / 2 } in 400..600)
    }
}

class CallRateLimiterTest {
    /** Guards against a daemon that exceeds its share of the platform's call rate. */
    @Test
    fun `the bucket refills at the configured rate and never beyond the burst`() {
        var now = 0L
        val limiter = CallRateLimiter(callsPerSecond = 10.0, burst = 2, clock = { now })
        assertEquals(listOf(0L, 0L, 101L), List(3) { limiter.tryAcquire() })
        now += 100
        assertEquals(0L, limiter.tryAcquire())
        now += 60_000
        assertEquals(2, List(5) { limiter.tryAcquire() }.count { it == 0L })
    }
}
