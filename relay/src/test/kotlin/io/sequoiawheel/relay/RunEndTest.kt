package io.sequoiawheel.relay

import io.sequoiawheel.relay.StreamFixture.Companion.NOT_RESUMABLE
import io.sequoiawheel.relay.StreamFixture.Companion.RESUMABLE
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.MethodSource
import java.io.IOException
import java.net.Socket
import kotlin.concurrent.thread

/** Engines that work on after their connection closed, and do not stop a run as soon as they are asked to. */
class RunEndTest {
    private fun request(
        engines: StubbornEngines,
        path: String,
    ) = engines.relay.request(path, extra = "X-Token-Usage: 3000,900\r\n")

    private fun assertWhole(
        received: String,
        lastEvent: Int,
    ) = assertEquals(
        (1..lastEvent).joinToString("") { StreamFixture.event(it) },
        ReceivedStream(received, isReset = false).body,
    )

    private fun assertOverlap(
        engines: StubbornEngines,
        boundMillis: Long,
    ) {
        val overlapMillis = engines.longestOverlapMillis()
        assertTrue(engines.runs.size >= 2, "${engines.runs.size} runs")
        assertTrue(overlapMillis <= boundMillis, "worked on the generation at two engines for $overlapMillis ms")
    }

    // Stops were given up after ten refusals or one failed connection, and a lost one was repeated after a second.
    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("conducts")
    fun `a run is stopped although its engine does not stop it when first asked`(
        end: StreamEnd,
        path: String,
        conduct: StopConduct,
        boundMillis: Long,
    ) {
        val drained = if (end == StreamEnd.NONE) setOf(0) else emptySet()
        StubbornEngines(conduct, listOf(end), drained, LONG_RUN).use { engines ->
            engines.start()
            assertWhole(engines.relay.send(request(engines, path)), LONG_RUN)
            assertOverlap(engines, boundMillis)
        }
    }

    // A request that waited at its first engine was not known there as a run, and ran after it was sent elsewhere.
    @Test
    fun `a request that was reset in the queue of its engine does not run there when it ran elsewhere`() {
        StubbornEngines(StopConduct.PROMPT, listOf(StreamEnd.RESET_IN_QUEUE), emptySet(), LONG_RUN).use { engines ->
            engines.start()
            assertWhole(engines.relay.send(request(engines, RESUMABLE)), LONG_RUN)
            assertOverlap(engines, OVERLAP_MILLIS)
        }
    }

    // The successor worked on the generation long before its head, until which the source was read.
    @ParameterizedTest
    @MethodSource("paths")
    fun `one of two engines is stopped although the head of the successor is late`(path: String) {
        lateSuccessor(LONG_RUN).use { engines ->
            engines.start()
            assertWhole(engines.relay.send(request(engines, path)), LONG_RUN)
            assertOverlap(engines, OVERLAP_MILLIS)
        }
    }

    // A run whose connection was lost was stopped only when the head of the next attempt arrived.
    @ParameterizedTest
    @MethodSource("paths")
    fun `a run whose stream broke off is stopped although the head of the next attempt is late`(path: String) {
        val delays = listOf(0L, LATE_HEAD_MILLIS)
        StubbornEngines(StopConduct.PROMPT, listOf(StreamEnd.RESET), emptySet(), LONG_RUN, delays).use { engines ->
            engines.start()
            assertWhole(engines.relay.send(request(engines, path)), LONG_RUN)
            assertOverlap(engines, OVERLAP_MILLIS)
        }
    }

    // Both connections were closed, which neither engine heeded, and nothing else stopped the two runs.
    @ParameterizedTest
    @MethodSource("paths")
    fun `both runs are stopped when the caller leaves while the generation moves`(path: String) {
        lateSuccessor(LONG_RUN).use { engines ->
            engines.start()
            engines.relay.connect().use { caller ->
                caller.getOutputStream().write(request(engines, path).toByteArray())
                RelayFixture.awaitTrue("the generation was sent to two engines") { engines.runs.size == 2 }
            }
            assertAllEnd(engines, engines.nowMillis())
        }
    }

    // The same at the deadline.
    @ParameterizedTest
    @MethodSource("paths")
    fun `both runs are stopped when the deadline expires while the generation moves`(path: String) {
        lateSuccessor(LONG_RUN).use { engines ->
            engines.start()
            val request = request(engines, path).replace("X-Deadline-Ms: 5000", "X-Deadline-Ms: $SHORT_DEADLINE_MILLIS")
            val sentMillis = engines.nowMillis()
            engines.relay.connect().use { caller ->
                caller.getOutputStream().write(request.toByteArray())
                awaitEnd(caller)
            }
            assertEquals(2, engines.runs.size)
            assertAllEnd(engines, sentMillis + SHORT_DEADLINE_MILLIS)
        }
    }

    // The successor was not stopped when the source had sent the whole stream.
    @Test
    fun `the successor is stopped when the source completes the stream first`() {
        val delays = listOf(0L, LATE_HEAD_MILLIS)
        StubbornEngines(StopConduct.PROMPT, emptyList(), setOf(0), SHORT_RUN, delays).use { engines ->
            engines.start()
            assertWhole(engines.relay.send(request(engines, NOT_RESUMABLE)), SHORT_RUN)
            val endMillis = engines.nowMillis()
            Thread.sleep(SETTLE_MILLIS)
            val workedMillis = engines.runs.drop(1).maxOf { it.workedMillis } - endMillis
            assertTrue(workedMillis <= OVERLAP_MILLIS, "worked for $workedMillis ms after the end")
        }
    }

    // The process ended with the last response, before a run that this response had left was stopped.
    @Test
    fun `a run is stopped before the instance exits`() {
        val ends = listOf(StreamEnd.RESET)
        val engines =
            StubbornEngines(
                StopConduct.PROMPT,
                ends,
                emptySet(),
                LAST_BEFORE_EXIT,
                eventsBeforeEnd = LAST_BEFORE_EXIT - 1,
            )
        engines.use {
            engines.start()
            val caller = thread { engines.relay.send(request(engines, NOT_RESUMABLE)) }
            RelayFixture.awaitTrue("the generation was sent") { engines.runs.size == 1 }
            runBlocking { engines.relay.daemon.leave() }
            engines.relay.daemon.close()
            caller.join()
            assertEquals(2, engines.runs.size)
            assertTrue(engines.runs.first().isStopped, "the run was not stopped")
        }
    }

    private fun lateSuccessor(lastEvent: Int) =
        StubbornEngines(
            StopConduct.PROMPT,
            emptyList(),
            setOf(0),
            lastEvent,
            headDelaysMillis = listOf(0, LATE_HEAD_MILLIS),
        )

    private fun assertAllEnd(
        engines: StubbornEngines,
        leftMillis: Long,
    ) {
        Thread.sleep(SETTLE_MILLIS)
        val workedMillis = engines.lastWorkMillis - leftMillis
        assertTrue(workedMillis <= OVERLAP_MILLIS, "worked for $workedMillis ms after the end")
    }

    private fun awaitEnd(caller: Socket) =
        try {
            caller.getInputStream().readBytes().size
        } catch (reset: IOException) {
            0
        }

    private companion object {
        /** The time that the users' rules grant to the engine before. */
        const val OVERLAP_MILLIS = 400L

        /** Number of events of a run that takes three seconds. */
        const val LONG_RUN = 150
        const val SHORT_RUN = 12

        /** Number of events of a run that takes longer than the load balancer needs to remove the instance. */
        const val LAST_BEFORE_EXIT = 142
        const val LATE_HEAD_MILLIS = 1_000L
        const val SHORT_DEADLINE_MILLIS = 250L
        const val SETTLE_MILLIS = 1_500L

        @JvmStatic
        fun paths() = listOf(NOT_RESUMABLE, RESUMABLE)

        @JvmStatic
        fun conducts(): List<Arguments> {
            val ways =
                listOf(
                    StreamEnd.NONE to NOT_RESUMABLE,
                    StreamEnd.NONE to RESUMABLE,
                    StreamEnd.RESET to NOT_RESUMABLE,
                    StreamEnd.RESET to RESUMABLE,
                )
            val long = listOf(StopConduct.BUSY_FOR_LONG, StopConduct.REFUSED_FOR_LONG, StopConduct.RESET_FOR_LONG)
            val short = listOf(StopConduct.UNANSWERED_FIRST, StopConduct.UNREACHABLE_FIRST, StopConduct.ANSWERED_TWICE)
            return ways.flatMap { (end, path) ->
                long.map { Arguments.of(end, path, it, StubbornEngines.REFUSAL_MILLIS + OVERLAP_MILLIS) } +
                    short.map { Arguments.of(end, path, it, OVERLAP_MILLIS) }
            }
        }
    }
}
