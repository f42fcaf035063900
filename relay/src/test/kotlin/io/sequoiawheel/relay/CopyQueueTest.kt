package io.sequoiawheel.relay

import io.sequoiawheel.relay.StreamFixture.Companion.RESUMABLE
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/**
 * Generations that leave an engine from copies, which the engine transfers one after another. It refuses to stop a run
 * while a copy of it is in progress or waits.
 */
class CopyQueueTest {
    private val received = ConcurrentHashMap<String, String>()

    // A second copy of each run was given up after 150 ms, but still waited in the queue of the engine. The generation
    // went on from the first copy, and each stop was refused until the second one was complete.
    @ParameterizedTest(name = "{0} runs, {1} other instances, then {2}")
    @CsvSource(
        "2, 0, NONE",
        "12, 0, NONE",
        "28, 0, NONE",
        "2, 6, NONE",
        "12, 6, NONE",
        "12, 0, RESET",
        "12, 6, RESET",
        "12, 0, INVALID_EVENT",
    )
    fun `a generation goes on from a copy only if no copy call of its own delays the stop`(
        runs: Int,
        otherInstances: Int,
        end: StreamEnd,
    ) {
        val fleet = StubbornEngines(StopConduct.PROMPT, emptyList(), emptySet(), LAST_EVENT, copyMillis = COPY_MILLIS)
        fleet.use { engines ->
            engines.start()
            val callers = (1..runs).map { number -> thread { send(engines, "g-$number") } }
            RelayFixture.awaitTrue("all generations run") { engines.runs.size == runs }
            Thread.sleep(SETTLE_MILLIS)
            val source =
                engines.runs
                    .groupBy { it.engine }
                    .maxBy { it.value.size }
                    .key
            engines.drain(source)
            val others =
                (1..otherInstances).map {
                    thread { repeat(COPIES_OF_OTHERS) { engines.occupyLink(source, COPY_MILLIS) } }
                }
            Thread.sleep(SETTLE_MILLIS)
            if (end != StreamEnd.NONE) engines.trouble(source, end)
            (callers + others).forEach { it.join() }
            val whole = (1..LAST_EVENT).joinToString("") { StreamFixture.event(it) }
            received.forEach { (id, text) -> assertEquals(whole, ReceivedStream(text, isReset = false).body, id) }
            val overlapMillis = engines.longestOverlapMillis()
            assertTrue(overlapMillis <= OVERLAP_MILLIS, "worked on a generation at two engines for $overlapMillis ms")
        }
    }

    private fun send(
        engines: StubbornEngines,
        id: String,
    ) {
        received[id] = engines.relay.send(engines.relay.request(RESUMABLE, id, extra = "X-Token-Usage: 500,720\r\n"))
    }

    private companion object {
        const val LAST_EVENT = 140
        const val COPY_MILLIS = 130L
        const val COPIES_OF_OTHERS = 3
        const val SETTLE_MILLIS = 100L

        /** The time that the users' rules grant to the engine before. */
        const val OVERLAP_MILLIS = 400L
    }
}
