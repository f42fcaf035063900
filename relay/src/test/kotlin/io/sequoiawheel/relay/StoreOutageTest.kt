package io.sequoiawheel.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The platform's store is unavailable for a moment and then returns with everything it had. */
class StoreOutageTest {
    private val fixture = RelayFixture()

    @AfterEach
    fun close() = fixture.close()

    private fun call() = fixture.send(fixture.request("/safe/a"))

    // A watch that waits for the first change after an outage must not take that change for a part of the outage.
    @Test
    fun `a replica that is removed some seconds after an outage receives no request beyond the drain bound`() {
        val replica = fixture.replica("r-1") { request, answer -> answer.sendComplete(request, "world") }
        fixture.configure()
        fixture.start()
        assertTrue(call().endsWith("world"))
        fixture.store.isDown = true
        Thread.sleep(OUTAGE_MILLIS)
        fixture.store.isDown = false
        Thread.sleep(STABLE_MILLIS)
        fixture.store.remove("servers", "r-1")
        Thread.sleep(DRAIN_MILLIS)
        val requestsBefore = replica.requests.size
        repeat(CALLS) {
            call()
            Thread.sleep(CALL_INTERVAL_MILLIS)
        }
        assertEquals(requestsBefore, replica.requests.size)
    }

    private companion object {
        /** Long enough for several calls to fail. */
        const val OUTAGE_MILLIS = 1_000L

        /** Time after which changes are not caused by the outage any longer. */
        const val STABLE_MILLIS = 4_000L

        /** The bound in the settings of the fixture. */
        const val DRAIN_MILLIS = 2_000L
        const val CALLS = 20
        const val CALL_INTERVAL_MILLIS = 20L
    }
}
