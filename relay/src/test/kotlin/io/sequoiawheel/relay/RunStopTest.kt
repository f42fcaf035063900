package io.sequoiawheel.relay

import io.sequoiawheel.relay.StreamFixture.Companion.NOT_RESUMABLE
import io.sequoiawheel.relay.StreamFixture.Companion.RESUMABLE
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.MethodSource

/** Generations that go on at another engine while the one before works on although its connection closed. */
class RunStopTest {
    /**
     * How a generation comes to go on elsewhere.
     *
     * @property ends how the streams of its runs end, in the order in which they start
     * @property drainedRuns the runs whose engines announce that they leave
     */
    enum class Way(
        val path: String,
        val ends: List<StreamEnd>,
        val drainedRuns: Set<Int> = emptySet(),
        val runs: Int = 2,
    ) {
        BACKUP_ON_NOTICE(NOT_RESUMABLE, emptyList(), setOf(0)),
        COPY_ON_NOTICE(RESUMABLE, emptyList(), setOf(0)),
        BACKUP_AFTER_STALL(NOT_RESUMABLE, listOf(StreamEnd.SILENCE)),
        BACKUP_AFTER_RESET(NOT_RESUMABLE, listOf(StreamEnd.RESET)),
        BACKUP_AFTER_INVALID_EVENT(NOT_RESUMABLE, listOf(StreamEnd.INVALID_EVENT)),
        RESUMED_AFTER_RESET(RESUMABLE, listOf(StreamEnd.RESET)),
        RESUMED_AFTER_INVALID_EVENT(RESUMABLE, listOf(StreamEnd.INVALID_EVENT)),
        RETRIED_BEFORE_ITS_HEAD(RESUMABLE, listOf(StreamEnd.NO_HEAD)),
        TWO_SOURCES(NOT_RESUMABLE, emptyList(), setOf(0, 1), runs = 3),
        TWO_SOURCES_RESUMED(RESUMABLE, listOf(StreamEnd.RESET, StreamEnd.RESET), runs = 3),
        SUCCESSOR_WITHOUT_HEAD(NOT_RESUMABLE, listOf(StreamEnd.NONE, StreamEnd.NO_HEAD), setOf(0)),
    }

    // The connection to the engine before was closed, which not all engines heed, and the run was not stopped.
    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("cases")
    fun `the engine before stops its run soon after the generation went on elsewhere`(
        way: Way,
        conduct: StopConduct,
    ) {
        StubbornEngines(conduct, way.ends, way.drainedRuns).use { engines ->
            engines.start()
            val request = engines.relay.request(way.path, extra = "X-Token-Usage: 3000,900\r\n")
            val received = ReceivedStream(engines.relay.send(request), isReset = false)
            Thread.sleep(RUN_MILLIS)
            assertEquals((1..StubbornEngines.LAST_EVENT).joinToString("") { StreamFixture.event(it) }, received.body)
            assertTrue(engines.runs.size >= way.runs, "${engines.runs.size} runs")
            val overlapMillis = engines.longestOverlapMillis()
            assertTrue(overlapMillis <= OVERLAP_MILLIS, "worked on the generation at two engines for $overlapMillis ms")
        }
    }

    // The generation went on at once, and its engine before worked beside the next one while it refused the stop.
    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("refusals")
    fun `a generation whose stream broke off goes on after the engine before has stopped`(
        way: Way,
        conduct: StopConduct,
    ) {
        StubbornEngines(conduct, way.ends, way.drainedRuns, lastEvent = LONG_RUN_EVENTS).use { engines ->
            engines.start()
            val request = engines.relay.request(way.path, extra = "X-Token-Usage: 3000,900\r\n")
            val received = ReceivedStream(engines.relay.send(request), isReset = false)
            assertEquals((1..LONG_RUN_EVENTS).joinToString("") { StreamFixture.event(it) }, received.body)
            assertTrue(engines.runs.size >= way.runs, "${engines.runs.size} runs")
            val overlapMillis = engines.longestOverlapMillis()
            assertTrue(overlapMillis <= OVERLAP_MILLIS, "worked on the generation at two engines for $overlapMillis ms")
        }
    }

    private companion object {
        /** Long enough that the engine before would still work when it no longer refuses. */
        const val LONG_RUN_EVENTS = 80

        @JvmStatic
        fun refusals(): List<Arguments> =
            StubbornEngines.LONG_REFUSALS.flatMap { conduct ->
                listOf(
                    Way.BACKUP_AFTER_RESET,
                    Way.BACKUP_AFTER_INVALID_EVENT,
                    Way.RESUMED_AFTER_RESET,
                    Way.RESUMED_AFTER_INVALID_EVENT,
                    Way.TWO_SOURCES_RESUMED,
                ).map { Arguments.of(it, conduct) }
            }

        /** The time that the users' rules grant to the engine before. */
        const val OVERLAP_MILLIS = 400L

        /** The time of a whole run, after which no engine works any more. */
        const val RUN_MILLIS = 1_200L

        @JvmStatic
        fun cases(): List<Arguments> =
            Way.entries.map { Arguments.of(it, StopConduct.PROMPT) } +
                (StopConduct.entries - StopConduct.PROMPT - StubbornEngines.LONG_REFUSALS).flatMap { conduct ->
                    listOf(Way.BACKUP_ON_NOTICE, Way.COPY_ON_NOTICE, Way.RESUMED_AFTER_RESET).map {
                        Arguments.of(it, conduct)
                    }
                }
    }
}
