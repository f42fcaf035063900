package io.sequoiawheel.relay

import io.sequoiawheel.relay.StreamFixture.Companion.RESUMABLE
import io.sequoiawheel.relay.StreamFixture.Companion.brokenOff
import io.sequoiawheel.relay.StreamFixture.Companion.complete
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Streams that have begun, and that the replicas to which they would go on refuse. */
class RefusedStreamTest {
    // Streams were given up after one to three refusals, with most of their time left (soak seed 53002).
    @Test
    fun `a stream that all replicas refuse is offered to them again`() =
        StreamFixture().use {
            it.start(brokenOff, refused, refused, refused, refused, refused, complete)
            assertComplete(it.send(RESUMABLE))
        }

    @Test
    fun `a stream that all replicas refuse is given up within its time and the retry budget`() =
        StreamFixture().use {
            it.start(brokenOff, refused)
            val start = System.nanoTime()
            assertBrokenOff(it.send(RESUMABLE))
            val millis = (System.nanoTime() - start) / NANOS_PER_MILLI
            assertTrue(millis < DEADLINE_MILLIS, "given up after $millis ms")
            assertTrue(it.receivers.size <= 1 + EXTRA_RETRIES, "sends: ${it.receivers}")
        }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000

        /** Time that the fixture's requests allow. */
        const val DEADLINE_MILLIS = 5_000

        /** This instance's share of the retries that the fixture's settings allow. */
        const val EXTRA_RETRIES = 6

        val refused: StreamScript = { request, answer -> answer.sendNotExecuted(request) }
    }
}
