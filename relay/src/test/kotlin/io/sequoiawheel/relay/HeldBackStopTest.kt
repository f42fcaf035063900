package io.sequoiawheel.relay

import io.sequoiawheel.relay.StreamFixture.Companion.NOT_RESUMABLE
import io.sequoiawheel.relay.StreamFixture.Companion.RESUMABLE
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.MethodSource
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** Generations that are to leave an engine that accepts few requests, and works on after their connections closed. */
class HeldBackStopTest {
    /** Why the engine accepts few requests. */
    enum class Restriction { PAUSE, LIMIT }

    /** Why the generations are to leave the engine. */
    enum class Cause { NOTICE, SILENCE, RESET, INVALID_EVENT }

    private val received = ConcurrentHashMap<String, String>()

    private fun send(
        engines: StubbornEngines,
        path: String,
        id: String,
    ) = thread {
        received[id] = engines.relay.send(engines.relay.request(path, id, extra = "X-Token-Usage: 500,720\r\n"))
    }

    // The pause or the limit held back the stop as well, so both engines worked until the run ended.
    @ParameterizedTest(name = "{0}, {1}, {2}, {3} runs")
    @MethodSource("cases")
    fun `generations leave an engine that accepts few requests only if their runs there can be stopped`(
        restriction: Restriction,
        cause: Cause,
        path: String,
        runs: Int,
    ) {
        StubbornEngines(StopConduct.PROMPT, emptyList(), emptySet(), LAST_EVENT).use { engines ->
            engines.start()
            val callers = (1..runs).map { send(engines, path, "g-$it") }.toMutableList()
            RelayFixture.awaitTrue("all generations run") { engines.runs.size == runs }
            val source =
                engines.runs
                    .groupBy { it.engine }
                    .maxBy { it.value.size }
                    .key
            callers += restrict(engines, source, restriction, path)
            Thread.sleep(IN_FLIGHT_MILLIS)
            disturb(engines, source, cause)
            callers.forEach { it.join() }
            assertAllWhole()
            val overlapMillis = engines.longestOverlapMillis()
            assertTrue(overlapMillis <= OVERLAP_MILLIS, "worked on a generation at two engines for $overlapMillis ms")
            if (restriction == Restriction.PAUSE) {
                val requests = engines.requestsInPause(source)
                assertTrue(requests <= REQUESTS_IN_PAUSE, "$requests requests during the pause")
            }
        }
    }

    /** Sends further generations until [source] has answered one with its restriction. Returns their callers. */
    private fun restrict(
        engines: StubbornEngines,
        source: String,
        restriction: Restriction,
        path: String,
    ): List<Thread> {
        val before = engines.runs.count { it.engine == source }
        if (restriction == Restriction.PAUSE) engines.pausingEngine = source else engines.limit(source, "2")
        val callers = ArrayList<Thread>()
        while (!engines.isPaused && engines.runs.count { it.engine == source } == before) {
            check(callers.size < MAXIMUM_FURTHER) { "$source received no further generation" }
            callers += send(engines, path, "further-${callers.size}")
            Thread.sleep(FURTHER_INTERVAL_MILLIS)
        }
        return callers
    }

    private fun disturb(
        engines: StubbornEngines,
        source: String,
        cause: Cause,
    ) = when (cause) {
        Cause.NOTICE -> engines.drain(source)
        Cause.SILENCE -> engines.trouble(source, StreamEnd.SILENCE)
        Cause.RESET -> engines.trouble(source, StreamEnd.RESET)
        Cause.INVALID_EVENT -> engines.trouble(source, StreamEnd.INVALID_EVENT)
    }

    private fun assertAllWhole() {
        val whole = (1..LAST_EVENT).joinToString("") { StreamFixture.event(it) }
        received.forEach { (id, text) -> assertEquals(whole, ReceivedStream(text, isReset = false).body, id) }
    }

    private companion object {
        /** Number of events of a run that takes longer than the pause. */
        const val LAST_EVENT = 180
        const val IN_FLIGHT_MILLIS = 450L
        const val FURTHER_INTERVAL_MILLIS = 40L
        const val MAXIMUM_FURTHER = 12

        /** More runs at one engine than a pause allows requests. */
        const val MANY_RUNS = 10

        /** The time that the users' rules grant to the engine before. */
        const val OVERLAP_MILLIS = 400L

        /** The requests that the users' rules allow during a pause. */
        const val REQUESTS_IN_PAUSE = 2

        @JvmStatic
        fun cases(): List<Arguments> =
            Restriction.entries.flatMap { restriction ->
                Cause.entries
                    .flatMap { cause -> listOf(NOT_RESUMABLE, RESUMABLE).map { cause to it } }
                    // Only a stream with a backup leaves an engine that is silent.
                    .filterNot { (cause, path) -> cause == Cause.SILENCE && path == RESUMABLE }
                    .flatMap { (cause, path) ->
                        listOf(1, MANY_RUNS).map { Arguments.of(restriction, cause, path, it) }
                    }
            }
    }
}
