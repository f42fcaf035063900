package io.sequoiawheel.core.history

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * Each test except the first makes a correct history violate one promise; it guards against a checker that misses it.
 */
class HistoryCheckerTest {
    private val service = ServiceName("desk")
    private val zone = ZoneName("a")
    private val entry = InstanceId("e1")
    private val replica = InstanceId("b1")
    private val call = RequestId("r1")
    private val stream = RequestId("r2")
    private val run = "b1/r2"

    private val correct: List<HistoryEvent> =
        listOf(
            HistoryEvent.EntryConnected(0, entry),
            HistoryEvent.ReplicaCapacity(0, replica, service, zone, concurrent = 2),
            HistoryEvent.DocumentAccepted(10, service, 1, 5),
            HistoryEvent.DocumentApplied(20, entry, service, 1),
            HistoryEvent.CallStarted(100, call, key = "k"),
            HistoryEvent.CallAccepted(100, call, entry),
            HistoryEvent.Dispatched(110, call, entry, replica),
            HistoryEvent.RunStarted(111, call, replica),
            HistoryEvent.RunEnded(115, call, replica, "paid"),
            HistoryEvent.CallEnded(120, call, ResultCode.OK, "paid"),
            HistoryEvent.CallStarted(200, stream),
            HistoryEvent.CallAccepted(200, stream, entry),
            HistoryEvent.Dispatched(210, stream, entry, replica),
            HistoryEvent.RunStarted(211, stream, replica),
            HistoryEvent.TokenProduced(212, run, 0, "a"),
            HistoryEvent.TokenProduced(213, run, 1, "b"),
            HistoryEvent.TokenDelivered(220, stream, run, 0, "a"),
            HistoryEvent.ShutdownStarted(225, entry),
            HistoryEvent.TokenDelivered(230, stream, run, 1, "b"),
            HistoryEvent.RunEnded(231, stream, replica),
            HistoryEvent.CallEnded(240, stream, ResultCode.OK, tokens = 2),
            HistoryEvent.ShutdownFinished(250, entry, 0),
            HistoryEvent.AuditRead(300, service, listOf(1)),
        )

    private fun violatedPromises(
        vararg extra: HistoryEvent,
        without: (HistoryEvent) -> Boolean = { false },
    ): Set<Promise> =
        HistoryChecker(CheckBounds(endMillis = 100_000))
            .check(correct.filterNot(without) + extra)
            .violations
            .map { it.promise }
            .toSet()

    @Test
    fun `a correct history passes and its facts are counted as examined`() {
        val result = HistoryChecker().check(correct)
        assertEquals(emptyList<Violation>(), result.violations)
        val decided = result.examined.filterValues { it > 0 }.keys
        assertEquals(setOf(Promise.P1, Promise.P2, Promise.P4, Promise.P6, Promise.P8, Promise.P9), decided)
    }

    @Test
    fun `a second run of the same key is detected`() {
        val second = RequestId("r3")
        assertEquals(
            setOf(Promise.P6),
            violatedPromises(HistoryEvent.CallStarted(130, second, "k"), HistoryEvent.RunStarted(140, second, replica)),
        )
        assertEquals(setOf(Promise.P6), violatedPromises(HistoryEvent.RunStarted(112, call, replica)))
    }

    @Test
    fun `a stream from two generations, a repeated token and a lost token are detected`() {
        val last = { event: HistoryEvent -> event is HistoryEvent.TokenDelivered && event.offset == 1 }
        assertEquals(
            setOf(Promise.P1),
            violatedPromises(
                HistoryEvent.TokenProduced(213, "b2/r2", 1, "b"),
                HistoryEvent.TokenDelivered(230, stream, "b2/r2", 1, "b"),
                without = last,
            ),
        )
        assertEquals(setOf(Promise.P1), violatedPromises(HistoryEvent.TokenDelivered(235, stream, run, 1, "b")))
        assertEquals(setOf(Promise.P4), violatedPromises(without = last))
    }

    @Test
    fun `an overloaded cold replica is detected`() {
        val extraRuns = (1..2).map { HistoryEvent.RunStarted(212, RequestId("x$it"), replica) }.toTypedArray()
        assertEquals(setOf(Promise.P2), violatedPromises(*extraRuns))
    }

    @Test
    fun `dispatches to an evacuated zone and to a leaving replica are detected only after the grace period`() {
        val out = HistoryEvent.ZoneChanged(300, service, zone, isOut = true)
        val leaving = HistoryEvent.ReplicaLeaving(300, replica)
        val early = HistoryEvent.Dispatched(1_000, RequestId("r3"), entry, replica)
        val late = early.copy(atMillis = 20_000)
        assertEquals(emptySet<Promise>(), violatedPromises(out, leaving, early))
        assertEquals(setOf(Promise.P3), violatedPromises(out, late))
        assertEquals(setOf(Promise.P7), violatedPromises(leaving, late))
        val back = HistoryEvent.ZoneChanged(10_000, service, zone, isOut = false)
        assertEquals(emptySet<Promise>(), violatedPromises(out, back, late))
    }

    @Test
    fun `a false not run status and an answer to another request are detected`() {
        val ended = { event: HistoryEvent -> event is HistoryEvent.CallEnded && event.request == call }
        assertEquals(
            setOf(Promise.P5),
            violatedPromises(HistoryEvent.CallEnded(120, call, ResultCode.CLAIM_STORE_UNAVAILABLE), without = ended),
        )
        val crossed = HistoryEvent.CallEnded(120, call, ResultCode.OK, "another answer")
        assertEquals(setOf(Promise.P4), violatedPromises(crossed, without = ended))
    }

    @Test
    fun `a request interrupted by a shutdown is detected`() {
        val ended = { event: HistoryEvent -> event is HistoryEvent.CallEnded && event.request == stream }
        assertEquals(setOf(Promise.P8), violatedPromises(HistoryEvent.CallLost(235, stream), without = ended))
        assertEquals(setOf(Promise.P8), violatedPromises(without = ended))
    }

    @Test
    fun `a reverted, late, skipped or unaudited configuration is detected`() {
        val second = HistoryEvent.DocumentAccepted(30, service, 2, 6)
        val applied = HistoryEvent.DocumentApplied(40, entry, service, 2)
        val audit = HistoryEvent.AuditRead(400, service, listOf(1, 2))
        val isAuditRead = { event: HistoryEvent -> event is HistoryEvent.AuditRead }
        assertEquals(emptySet<Promise>(), violatedPromises(second, applied, audit, without = isAuditRead))
        assertEquals(setOf(Promise.P9), violatedPromises(second, applied))
        val reverted = HistoryEvent.DocumentApplied(50, entry, service, 1)
        assertEquals(setOf(Promise.P9), violatedPromises(second, applied, reverted, audit, without = isAuditRead))
        val auditOrShutdown = { event: HistoryEvent -> isAuditRead(event) || event is HistoryEvent.ShutdownFinished }
        assertEquals(setOf(Promise.P9), violatedPromises(second, audit, without = auditOrShutdown))
        val cutOff = HistoryEvent.EntryDisconnected(35, entry)
        assertEquals(emptySet<Promise>(), violatedPromises(second, cutOff, audit, without = auditOrShutdown))
        val back = HistoryEvent.EntryConnected(50_000, entry)
        assertEquals(setOf(Promise.P9), violatedPromises(second, cutOff, back, audit, without = auditOrShutdown))
    }
}
