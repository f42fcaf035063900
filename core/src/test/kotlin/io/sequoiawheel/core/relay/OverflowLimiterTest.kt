package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Calls of one of many instances to a replica that takes those of a restricted one. */
class OverflowLimiterTest {
    private var nowMillis = 0L
    private val limiter = OverflowLimiter(FixedFleet(instanceCount = INSTANCES))
    private val replica =
        Replica(
            ReplicaEntry(InstanceId("r"), ServiceName("s"), "h", 1, ZoneName("a"), slots = 6, false, 0, 1),
        ) { nowMillis }

    /** Sends as many calls as allowed for [millis], which end after [responseMillis]; returns their number. */
    private fun send(
        millis: Long,
        responseMillis: Long,
    ): Int {
        var sent = 0
        val end = nowMillis + millis
        while (nowMillis < end) {
            nowMillis++
            if (!limiter.mayAdmit(replica)) continue
            limiter.admit(replica)
            sent++
            limiter.recordCall(replica, responseMillis, OBJECTIVE_MILLIS)
        }
        return sent
    }

    // Instances that all see a free replica must not fill it together before the first of them notices.
    @Test
    fun `an instance begins with its share of the capacity`() {
        assertTrue(send(millis = 50, responseMillis = 45) <= 1)
    }

    @Test
    fun `calls within the objective raise the rate and late ones lower it to the share`() {
        val first = send(millis = 1_000, responseMillis = 45)
        repeat(10) { send(millis = 1_000, responseMillis = 45) }
        assertTrue(send(millis = 1_000, responseMillis = 45) > 4 * first)
        repeat(10) { send(millis = 1_000, responseMillis = 400) }
        val share = 6 * 1_000.0 / 40 / INSTANCES
        assertTrue(send(millis = 10_000, responseMillis = 400) in (share * 9).toInt()..(share * 11).toInt())
    }

    @Test
    fun `the rate is learned anew after a time without restrictions`() {
        repeat(10) { send(millis = 1_000, responseMillis = 45) }
        nowMillis += 10_000
        assertTrue(send(millis = 300, responseMillis = 45) <= 1)
    }

    private companion object {
        const val INSTANCES = 95
        const val OBJECTIVE_MILLIS = 150L
    }
}
