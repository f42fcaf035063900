package io.sequoiawheel.relay

import io.sequoiawheel.relay.StreamFixture.Companion.NOT_RESUMABLE
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.concurrent.thread

/** An engine that accepts no new connections, while the instance has idle ones to it. */
class CrowdedEngineStopTest {
    private fun request(
        engines: StubbornEngines,
        id: String,
        outputTokens: Int,
    ) = engines.relay.request(NOT_RESUMABLE, id, extra = "X-Token-Usage: 500,$outputTokens\r\n")

    private fun startOther(
        engines: StubbornEngines,
        number: Int,
    ) = thread { engines.relay.send(request(engines, "other-$number", LONG_TOKENS)) }

    // Each stop needed a new connection, and the run worked on beside the next one for as long as those were refused.
    @ParameterizedTest
    @EnumSource(StreamEnd::class, names = ["SILENCE", "INVALID_EVENT"])
    fun `a run is stopped over a kept connection if new ones fail`(end: StreamEnd) {
        StubbornEngines(StopConduct.PROMPT, emptyList(), emptySet(), LAST_EVENT).use { engines ->
            engines.start()
            engines.keepConnections()
            var received = ""
            val caller = thread { received = engines.relay.send(request(engines, "first", LONG_TOKENS)) }
            RelayFixture.awaitTrue("the generation runs") { engines.runs.isNotEmpty() }
            val source = engines.runs.first().engine
            val others = (1..OTHERS).mapTo(ArrayList()) { startOther(engines, it) }
            RelayFixture.awaitTrue("all others run") { engines.runs.size > OTHERS }
            // Chance decides among engines of the same load, so that all others may run elsewhere.
            while (engines.runs.count { it.engine == source } < 2 && others.size < MAXIMUM_OTHERS) {
                val number = others.size + 1
                others += startOther(engines, number)
                RelayFixture.awaitTrue("other $number runs") { engines.runs.any { it.request == "other-$number" } }
            }
            RelayFixture.awaitTrue("others run at the same engine") { engines.runs.count { it.engine == source } > 1 }
            engines.runs.filter { it.engine == source && it.request != "first" }.forEach { it.endsEarly = true }
            RelayFixture.awaitTrue("their connections are idle") {
                engines.runs.none { it.engine == source && it.endsEarly && !it.hasEnded }
            }
            engines.refuseConnections(source)
            engines.trouble(source, end)
            (others + caller).forEach { it.join() }
            val whole = (1..LAST_EVENT).joinToString("") { StreamFixture.event(it) }
            assertEquals(whole, ReceivedStream(received, isReset = false).body)
            val overlapMillis = engines.longestOverlapMillis()
            assertTrue(overlapMillis <= OVERLAP_MILLIS, "worked on the generation at two engines for $overlapMillis ms")
        }
    }

    private companion object {
        const val LAST_EVENT = 150
        const val LONG_TOKENS = 600
        const val OTHERS = 7
        const val MAXIMUM_OTHERS = 30

        /** The time that the users' rules grant to the engine before. */
        const val OVERLAP_MILLIS = 400L
    }
}
