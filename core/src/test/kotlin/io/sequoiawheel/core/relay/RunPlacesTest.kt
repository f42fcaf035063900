package io.sequoiawheel.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.MethodSource

class RunPlacesTest {
    private val places = RunPlaces<String>()

    /** One way to be decided: why the stream is left, what the engine answers, and how the generation can go on. */
    class Case(
        val cause: LeaveCause,
        val answer: StopAnswer?,
        val continuation: Continuation,
    ) {
        override fun toString() = "$cause, ${answer ?: "no answer"}, $continuation"
    }

    private fun Case.decide(waitedMillis: Long) = places.decide(cause, answer, continuation, waitedMillis)

    // Each way on which a run was left without its stop, or its stream lost, was another case of this table.
    @ParameterizedTest(name = "{0}: {1}, later {2}")
    @MethodSource("table")
    fun `what a generation does follows from why it is left, the answer and how it can go on`(
        case: Case,
        atFirst: RunDecision,
        later: RunDecision,
    ) {
        for (waitedMillis in listOf(0L, RunPlaces.MAXIMUM_WAIT_MILLIS - 1)) {
            assertEquals(atFirst, case.decide(waitedMillis), "after $waitedMillis ms")
        }
        assertEquals(later, case.decide(RunPlaces.MAXIMUM_WAIT_MILLIS), "at the end of the wait")
    }

    // These hold for the whole table, also for an answer, cause or way that is added later.
    @ParameterizedTest
    @MethodSource("cases")
    fun `no decision breaks an invariant`(case: Case) {
        for (waitedMillis in listOf(0L, RunPlaces.MAXIMUM_WAIT_MILLIS - 1, RunPlaces.MAXIMUM_WAIT_MILLIS)) {
            val decision = case.decide(waitedMillis)
            if (case.answer == StopAnswer.HELD_BACK) {
                assertTrue(decision != RunDecision.GO_ON, "beside an engine that was not asked to stop")
            }
            if (case.continuation == Continuation.NONE) assertTrue(decision != RunDecision.GO_ON, "without a way")
            if (case.cause.isRead) assertTrue(decision != RunDecision.STOP, "a stream that is read is ended")
            if (case.answer == StopAnswer.STOPPED && case.continuation != Continuation.NONE) {
                assertEquals(RunDecision.GO_ON, decision, "the end of the run is proven")
            }
        }
        val isEndless = case.decide(RunPlaces.MAXIMUM_WAIT_MILLIS) == RunDecision.WAIT
        assertFalse(isEndless && !case.cause.isRead, "a caller waits for ever")
    }

    // A source that worked was left for an attempt at a replica that had crashed, and the stream was lost.
    @Test
    fun `a source in progress is kept when the head of the newest attempt is late`() {
        assertEquals(RunDecision.WAIT, places.decideLateHead(LATE_MILLIS - 1, isSourceInProgress = true))
        assertEquals(RunDecision.STOP, places.decideLateHead(LATE_MILLIS, isSourceInProgress = true))
    }

    // Guards against a generation that never moves because each head takes longer than the limit.
    @Test
    fun `the third attempt is waited for`() {
        repeat(2) { assertEquals(RunDecision.STOP, places.decideLateHead(LATE_MILLIS, isSourceInProgress = true)) }
        assertEquals(RunDecision.WAIT, places.decideLateHead(LATE_MILLIS, isSourceInProgress = true))
    }

    // A run whose stream broke off or stalled worked on beside the newest attempt until the head of that one.
    @Test
    fun `runs without progress are left when the head of the newest attempt is late`() {
        assertEquals(RunDecision.WAIT, places.decideLateHead(LATE_MILLIS - 1, isSourceInProgress = false))
        assertEquals(RunDecision.GO_ON, places.decideLateHead(LATE_MILLIS, isSourceInProgress = false))
    }

    // The newest attempt was given up at a replica that accepts no stop, and worked on beside the source.
    @Test
    fun `an attempt that could not be stopped is not given up`() {
        assertEquals(RunDecision.GO_ON, places.decideLateHead(LATE_MILLIS, isSourceInProgress = true) { false })
    }

    @Test
    fun `a place is kept from when its stream is left until its end is proven or its stop is under way`() {
        places.involve("e-1")
        assertFalse("e-1" in places, "its stream is read")
        places.leave("e-1", hasStarted = true, nowMillis = 5)
        places.leave("e-2", hasStarted = false, nowMillis = 6)
        assertEquals(listOf("e-1", "e-2"), places.unstopped)
        assertEquals(true to 5L, places.unread("e-1")?.let { it.hasStarted to it.leftAtMillis })
        places.settle("e-1")
        assertNull(places.unread("e-1"))
        assertEquals(listOf("e-2"), places.unstopped)
    }

    @Test
    fun `a run is moved to the place that was involved last beside its own`() {
        assertNull(places.lastOther("e-1"))
        listOf("e-1", "e-2", "e-3").forEach(places::involve)
        assertEquals("e-3", places.lastOther("e-1"))
        assertEquals("e-2", places.lastOther("e-3"))
    }

    private companion object {
        const val LATE_MILLIS = 220L

        @JvmStatic
        fun cases(): List<Case> =
            LeaveCause.entries.flatMap { cause ->
                (StopAnswer.entries + null).flatMap { answer -> Continuation.entries.map { Case(cause, answer, it) } }
            }

        @JvmStatic
        fun table(): List<Arguments> =
            cases().map { case ->
                val (atFirst, later) = expected(case)
                Arguments.of(case, atFirst, later)
            }

        private fun expected(case: Case): Pair<RunDecision, RunDecision> {
            val hasWay = case.continuation != Continuation.NONE
            return when (case.cause) {
                LeaveCause.NOTICE, LeaveCause.STALL ->
                    always(if (hasWay && case.answer != StopAnswer.HELD_BACK) RunDecision.GO_ON else RunDecision.WAIT)
                LeaveCause.BREAK -> if (hasWay) afterBreak(case.answer) else always(RunDecision.STOP)
            }
        }

        private fun afterBreak(answer: StopAnswer?) =
            when (answer) {
                StopAnswer.STOPPED, StopAnswer.NO_SUCH_RUN, StopAnswer.REPLACED, StopAnswer.UNREACHABLE, null ->
                    always(RunDecision.GO_ON)
                StopAnswer.REFUSED, StopAnswer.NO_RESPONSE -> RunDecision.WAIT to RunDecision.GO_ON
                StopAnswer.HELD_BACK -> RunDecision.WAIT to RunDecision.STOP
            }

        private fun always(decision: RunDecision) = decision to decision
    }
}
