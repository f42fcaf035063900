package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Stops of runs at a replica that requested a pause or names a request limit. */
class StopPermitTest {
    private var nowMillis = 0L
    private val limiter = RequestLimiter(FixedFleet(instanceCount = 1))
    private val replica =
        Replica(
            ReplicaEntry(InstanceId("e-1"), ServiceName("writers"), "127.0.0.1", 1, ZoneName("a"), 24, false, 0, 1),
        ) { nowMillis }

    private fun permit() = StopPermit(replica, limiter)

    private fun pause(millis: Long = 5_000) {
        replica.pauseFor(millis)
        nowMillis += IN_FLIGHT_MILLIS
    }

    // Each stop was held back until the pause ended; without a bound, the pause would not be kept at all.
    @Test
    fun `a paused replica receives two stops`() {
        pause()
        assertEquals(listOf(true, true, false), List(3) { permit().tryUse() })
    }

    @Test
    fun `a run leaves a paused replica only if its stop can be repeated`() {
        pause()
        val first = permit()
        assertTrue(first.reserve())
        assertFalse(permit().reserve(), "the run of another generation stays")
        assertFalse(permit().tryUse(), "what is reserved is not used for another run")
        assertEquals(listOf(true, true, false), List(3) { first.tryUse() })
    }

    @Test
    fun `what was reserved and not used allows another run to leave`() {
        pause()
        val first = permit()
        assertTrue(first.reserve())
        assertTrue(first.reserve(), "reserved before")
        first.close()
        assertTrue(permit().reserve())
    }

    // A reservation of an earlier pause increased the number of requests in a later one.
    @Test
    fun `a reservation ends with its pause`() {
        pause(1_000)
        val first = permit()
        assertTrue(first.reserve())
        nowMillis += 1_000
        pause()
        first.close()
        assertEquals(listOf(true, true, false), List(3) { permit().tryUse() })
    }

    // Runs that had just moved when the pause began were not stopped.
    @Test
    fun `stops sent at the beginning of a pause count as in flight`() {
        replica.pauseFor(5_000)
        assertTrue(List(20) { permit().tryUse() }.all { it })
        nowMillis += IN_FLIGHT_MILLIS
        assertEquals(listOf(true, true, false), List(3) { permit().tryUse() })
    }

    @Test
    fun `a longer pause that is requested during a pause allows no further requests`() {
        pause(1_000)
        repeat(2) { assertTrue(permit().tryUse()) }
        replica.pauseFor(9_000)
        assertFalse(permit().tryUse())
    }

    @Test
    fun `a stop takes a request of the limit, and the run stays if there is none`() {
        replica.requestLimit.name(1.0)
        val first = permit()
        assertFalse(first.reserve(), "the bucket of a new limit is empty")
        nowMillis += 1_000
        assertTrue(first.reserve())
        assertFalse(permit().reserve())
        assertTrue(first.tryUse())
    }

    // New requests took each permission before the stop was tried again.
    @Test
    fun `a stop that the limit holds back precedes other requests`() {
        replica.requestLimit.name(1.0)
        val waiting = permit()
        assertFalse(waiting.tryUse())
        nowMillis += 1_000
        assertFalse(limiter.mayAdmit(replica))
        assertFalse(limiter.tryAdmit(replica))
        assertTrue(waiting.tryUse())
        nowMillis += 1_000
        assertTrue(limiter.tryAdmit(replica))
    }

    @Test
    fun `a closed permission does not hold back other requests`() {
        replica.requestLimit.name(1.0)
        val waiting = permit()
        assertFalse(waiting.tryUse())
        waiting.close()
        nowMillis += 1_000
        assertFalse(waiting.tryUse())
        assertTrue(limiter.tryAdmit(replica))
    }

    @Test
    fun `neither a pause nor a limit holds back the stops at other replicas`() {
        assertTrue(permit().reserve())
        assertTrue(List(20) { permit().tryUse() }.all { it })
    }

    private companion object {
        const val IN_FLIGHT_MILLIS = 350L
    }
}
