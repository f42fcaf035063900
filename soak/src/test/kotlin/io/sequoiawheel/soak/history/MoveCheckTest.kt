package io.sequoiawheel.soak.history

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Streams that go on at another replica, with the first replica at work for different times beside it. */
class MoveCheckTest {
    private val checker = HistoryChecker(EVENTS, { TIMEOUT_MILLIS }, CheckBounds(3_000, 2_000, 8_000))

    private fun events(
        numbers: Iterable<Int>,
        replica: String,
    ) = numbers.joinToString("") { "id: $it\ndata: piece $it of q1z by $replica\n\n" }

    private val first = Run("q1z", "r-1", 9_000, MOVED_MILLIS + 400, RunEnd.CONNECTION_LOST, "", "s-1")
    private val next =
        Run("q1z", "r-2", MOVED_MILLIS, 11_500, RunEnd.ANSWERED, "", "s-2", resumedAfter = 2, isContinuation = true)

    private fun history(
        kind: CallKind = CallKind.STREAM,
        runs: List<Run> = listOf(first, next),
        disturbances: List<Disturbance> = emptyList(),
    ): History {
        val body = events(1..2, "r-1") + events(3..EVENTS, "r-2")
        val call = Call("q1z", kind, "entry-1", 8_990, 11_510, CallEnd.ANSWERED, 200, "q1z", "s-1", body)
        return History(listOf(call), runs, disturbances)
    }

    private fun broken(history: History) = checker.check(history).violations.map { it.promise }

    @Test
    fun `a stream that goes on from a copy is one run while its source ends in time`() {
        val verdict = checker.check(history())
        assertEquals(emptyList<Violation>(), verdict.violations)
        assertEquals(1, verdict.continued)
    }

    /** Guards against a source that works on beside the replica at which a stream went on. */
    @Test
    fun `a source that works on for longer than the bound is found`() {
        val late = first.copy(endMillis = MOVED_MILLIS + 401)
        val running = first.copy(endMillis = null, end = RunEnd.RUNNING)
        for (source in listOf(late, running)) {
            for (kind in listOf(CallKind.STREAM, CallKind.RESUMABLE_STREAM)) {
                assertEquals(listOf(Promise.TWICE), broken(history(kind, listOf(source, next))), kind.name)
            }
        }
    }

    @Test
    fun `a source that works on after the caller left is found`() {
        val source = first.copy(endMillis = MOVED_MILLIS + 401)
        val left =
            history(runs = listOf(source, next)).let { history ->
                history.copy(calls = history.calls.map { it.copy(end = CallEnd.LEFT, endMillis = MOVED_MILLIS + 10) })
            }
        assertEquals(listOf(Promise.TWICE), broken(left))
    }

    @Test
    fun `a resumable stream that goes on after its last event is measured too`() {
        val source = first.copy(endMillis = MOVED_MILLIS + 401)
        val resumed = next.copy(isContinuation = false)
        assertEquals(listOf(Promise.TWICE), broken(history(CallKind.RESUMABLE_STREAM, listOf(source, resumed))))
        assertEquals(emptyList<Promise>(), broken(history(CallKind.RESUMABLE_STREAM, listOf(first, resumed))))
    }

    /** Guards against a move that failed at once and is held against the source, which goes on with the stream. */
    @Test
    fun `a replica that fails within the bound is not where a stream goes on`() {
        val source = first.copy(endMillis = 11_500, end = RunEnd.ANSWERED)
        val failed = next.copy(endMillis = MOVED_MILLIS + 400, end = RunEnd.BROKEN_OFF)
        assertEquals(0, checker.check(history(runs = listOf(source, failed))).count(Promise.TWICE))
        val later = failed.copy(endMillis = MOVED_MILLIS + 401)
        assertEquals(1, checker.check(history(runs = listOf(source, later))).count(Promise.TWICE))
    }

    @Test
    fun `a second arrival without a copy is a second run of a stream that may not be repeated`() {
        val again = next.copy(isContinuation = false, resumedAfter = null)
        assertEquals(setOf(Promise.TWICE, Promise.ORDER), broken(history(runs = listOf(first, again))).toSet())
    }

    @Test
    fun `events of a replica that did not go on from a copy are joined from two runs`() {
        val elsewhere = next.copy(replica = "r-3")
        assertEquals(listOf(Promise.ORDER), broken(history(runs = listOf(first, elsewhere))))
    }

    @Test
    fun `an instance out of touch or a disturbed path to the source excuses until the contact time after it`() {
        val runs = listOf(first.copy(endMillis = 11_000), next)
        val faults =
            listOf(
                DisturbanceKind.KILL to "entry-1",
                DisturbanceKind.SHUTDOWN to "entry-1",
                DisturbanceKind.PAUSE to "entry-1",
                DisturbanceKind.REPLICA_PATH to "r-1",
            )
        for ((kind, target) in faults) {
            val during = Disturbance(kind, target, 0, MOVED_MILLIS - 3_000)
            val before = during.copy(toMillis = MOVED_MILLIS - 3_001)
            val other = during.copy(target = "other")
            assertEquals(emptyList<Promise>(), broken(history(runs = runs, disturbances = listOf(during))), kind.name)
            assertEquals(
                listOf(Promise.TWICE),
                broken(history(runs = runs, disturbances = listOf(before))),
                kind.name,
            )
            assertEquals(listOf(Promise.TWICE), broken(history(runs = runs, disturbances = listOf(other))), kind.name)
        }
    }

    private companion object {
        const val EVENTS = 4
        const val TIMEOUT_MILLIS = 8_000L
        const val MOVED_MILLIS = 10_000L
    }
}
