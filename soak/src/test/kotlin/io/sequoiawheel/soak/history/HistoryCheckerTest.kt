package io.sequoiawheel.soak.history

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Plants one fault at a time in a copy of a clean history; the checker must find it, and nothing else. */
class HistoryCheckerTest {
    private val checker = HistoryChecker(EVENTS, { TIMEOUT_MILLIS }, CheckBounds(3_000, 2_000, 8_000))

    private fun event(
        requestId: String,
        number: Int,
        replica: String = "r-1",
    ) = "id: $number\ndata: piece $number of $requestId by $replica\n\n"

    private fun events(
        requestId: String,
        numbers: Iterable<Int>,
    ) = numbers.joinToString("") { event(requestId, it) }

    private fun call(kind: CallKind): Call {
        val id = kind.name
        val body = if (kind.isStream) events(id, 1..EVENTS) else "whole $id"
        return Call(id, kind, "entry-1", SENT_MILLIS, END_MILLIS, CallEnd.ANSWERED, 200, id, "s-$id", body)
    }

    private fun run(kind: CallKind): Run {
        val id = kind.name
        return Run(id, "r-1", SENT_MILLIS + 1, END_MILLIS - 1, RunEnd.ANSWERED, "whole $id", "s-$id")
    }

    private val clean = History(CallKind.entries.map(::call), CallKind.entries.map(::run))

    private fun withCall(
        kind: CallKind,
        change: (Call) -> Call,
    ) = clean.copy(calls = clean.calls.map { if (it.kind == kind) change(it) else it })

    private fun History.withRun(
        kind: CallKind,
        change: (Run) -> Run,
    ) = copy(runs = runs.map { if (it.requestId == kind.name) change(it) else it })

    private fun broken(history: History) = checker.check(history).violations.map { it.promise }

    private fun closed(kind: CallKind) =
        withCall(kind) { it.copy(end = CallEnd.CLOSED, status = null, responseId = null, signature = null, body = "") }

    private fun closedDuring(
        kind: DisturbanceKind,
        target: String,
        toMillis: Long,
    ) = closed(CallKind.UNSAFE).copy(disturbances = listOf(Disturbance(kind, target, 0, toMillis)))

    @Test
    fun `a clean history breaks nothing and tests every promise of requests`() {
        val verdict = checker.check(clean)
        assertEquals(emptyList<Violation>(), verdict.violations)
        assertEquals(2, verdict.tested[Promise.TWICE])
        assertEquals(4, verdict.tested[Promise.LOST])
        assertEquals(2, verdict.tested[Promise.ORDER])
    }

    @Test
    fun `a call that was passed on and ended without an answer is lost`() {
        CallKind.entries.forEach { assertEquals(listOf(Promise.LOST), broken(closed(it)), it.name) }
    }

    @Test
    fun `a stream that is cut off although its replica is sound is lost`() {
        val cut = withCall(CallKind.STREAM) { it.copy(end = CallEnd.CUT, body = it.body.dropLast(CUT_CHARACTERS)) }
        assertEquals(listOf(Promise.LOST), broken(cut))
    }

    @Test
    fun `a refused call that ends without an answer is lost`() {
        val refused = closed(CallKind.UNSAFE).withRun(CallKind.UNSAFE) { it.copy(end = RunEnd.REFUSED) }
        assertEquals(listOf(Promise.LOST), broken(refused))
    }

    @Test
    fun `a call that was not passed on is not lost`() {
        val unsent = closed(CallKind.UNSAFE)
        assertEquals(
            emptyList<Promise>(),
            broken(unsent.copy(runs = unsent.runs.filterNot { it.requestId == CallKind.UNSAFE.name })),
        )
    }

    @Test
    fun `a shutdown, a reload and an outage of the store excuse no loss`() {
        for (kind in listOf(DisturbanceKind.SHUTDOWN, DisturbanceKind.RELOAD, DisturbanceKind.STORE)) {
            assertEquals(listOf(Promise.LOST), broken(closedDuring(kind, "entry-1", END_MILLIS)), kind.name)
        }
    }

    @Test
    fun `a killed or paused instance excuses a loss until the contact time after it`() {
        for (kind in listOf(DisturbanceKind.KILL, DisturbanceKind.PAUSE, DisturbanceKind.CALLER_PATH)) {
            val excused = closedDuring(kind, "entry-1", SENT_MILLIS - CONTACT_MILLIS)
            val late = closedDuring(kind, "entry-1", SENT_MILLIS - CONTACT_MILLIS - 1)
            val other = closedDuring(kind, "entry-2", END_MILLIS)
            assertEquals(emptyList<Promise>(), broken(excused), kind.name)
            assertEquals(listOf(Promise.LOST), broken(late), kind.name)
            assertEquals(listOf(Promise.LOST), broken(other), kind.name)
        }
    }

    @Test
    fun `a replica that broke off, the caller's leaving and the timeout excuse a loss`() {
        val brokenOff = closed(CallKind.STREAM).withRun(CallKind.STREAM) { it.copy(end = RunEnd.BROKEN_OFF) }
        val left = withCall(CallKind.UNSAFE) { it.copy(end = CallEnd.LEFT, status = null, signature = null, body = "") }
        val timedOut =
            closed(CallKind.UNSAFE).let { history ->
                history.copy(calls = history.calls.map { it.copy(endMillis = it.sentMillis + TIMEOUT_MILLIS) })
            }
        listOf(brokenOff, left, timedOut).forEach { assertEquals(emptyList<Promise>(), broken(it)) }
    }

    // A stream that its replica reset was recorded as stopped, so that its loss was not excused.
    @Test
    fun `a stop excuses no loss, unless the replica had broken the stream off before`() {
        val stopped = closed(CallKind.STREAM).withRun(CallKind.STREAM) { it.copy(end = RunEnd.STOPPED) }
        val first = stopped.withRun(CallKind.STREAM) { it.copy(streamEnd = RunEnd.BROKEN_OFF, streamEndMillis = 1) }
        val left = stopped.withRun(CallKind.STREAM) { it.copy(streamEnd = RunEnd.CONNECTION_LOST, streamEndMillis = 1) }
        assertEquals(listOf(Promise.LOST), broken(stopped))
        assertEquals(listOf(Promise.LOST), broken(left))
        assertEquals(emptyList<Promise>(), broken(first))
    }

    @Test
    fun `a call that may not be repeated and ran twice is found`() {
        for (kind in CallKind.entries) {
            val twice = clean.copy(runs = clean.runs + run(kind).copy(replica = "r-2"))
            val expected = if (kind.isRepeatable) emptyList() else listOf(Promise.TWICE)
            assertEquals(expected, broken(twice), kind.name)
        }
    }

    @Test
    fun `a refusal and a run of one call are no second run`() {
        val refused = clean.copy(runs = clean.runs + run(CallKind.UNSAFE).copy(end = RunEnd.REFUSED))
        assertEquals(emptyList<Promise>(), broken(refused))
    }

    @Test
    fun `a refusal of a call that ran is found, also if it is still running`() {
        for (status in listOf(408, 421, 429, 503)) {
            val refused = withCall(CallKind.UNSAFE) { it.copy(status = status, signature = null, body = "") }
            assertEquals(listOf(Promise.REFUSED), broken(refused), "$status")
            val running = refused.withRun(CallKind.UNSAFE) { it.copy(end = RunEnd.RUNNING, endMillis = null) }
            assertEquals(listOf(Promise.REFUSED), broken(running), "$status")
        }
        val late = withCall(CallKind.UNSAFE) { it.copy(status = 504, signature = null, body = "") }
        assertEquals(emptyList<Promise>(), broken(late))
    }

    @Test
    fun `a success that is not the replica's whole answer is found`() {
        val faults =
            listOf<(Call) -> Call>(
                { it.copy(signature = null) },
                { it.copy(signature = "s-other") },
                { it.copy(body = it.body.dropLast(1)) },
                { it.copy(body = it.body + "x") },
                { it.copy(responseId = "other") },
                { it.copy(strayBytes = 1) },
            )
        faults.forEachIndexed { index, fault ->
            assertEquals(listOf(Promise.MIXED), broken(withCall(CallKind.SAFE, fault)), "fault $index")
        }
    }

    /** Guards against a failure of a replica that reaches its caller as a success, or the other way round. */
    @Test
    fun `an answer with another status than the replica gave is found`() {
        val failed = clean.withRun(CallKind.SAFE) { it.copy(status = 500) }
        assertEquals(listOf(Promise.MIXED), broken(failed))
        val retried = failed.copy(runs = failed.runs + run(CallKind.SAFE).copy(replica = "r-2", signature = "s-2"))
        assertEquals(listOf(Promise.MIXED), broken(retried))
        for (kind in listOf(CallKind.SAFE, CallKind.STREAM)) {
            assertEquals(listOf(Promise.MIXED), broken(withCall(kind) { it.copy(status = 500) }), kind.name)
        }
    }

    @Test
    fun `a failure is compared with the one that the replica gave`() {
        val failure =
            withCall(CallKind.UNSAFE) { it.copy(status = 500) }.withRun(CallKind.UNSAFE) { it.copy(status = 500) }
        assertEquals(emptyList<Promise>(), broken(failure))
        val faults =
            listOf<(Call) -> Call>(
                { it.copy(signature = "s-other") },
                { it.copy(body = it.body.dropLast(1)) },
                { it.copy(status = 502) },
                { it.copy(status = 502, signature = null) },
                { it.copy(signature = null, body = "whole SAFE") },
            )
        faults.forEachIndexed { index, fault ->
            val changed = failure.copy(calls = failure.calls.map { if (it.kind == CallKind.UNSAFE) fault(it) else it })
            assertEquals(listOf(Promise.MIXED), broken(changed), "fault $index")
        }
        val own = withCall(CallKind.UNSAFE) { it.copy(status = 502, signature = null, body = "no replica answered") }
        assertEquals(emptyList<Promise>(), broken(own))
    }

    @Test
    fun `bytes that are no response are found unless the instance was killed`() {
        val foreign =
            closed(CallKind.SAFE).let { history ->
                history.copy(
                    runs = history.runs.filterNot { it.requestId == CallKind.SAFE.name },
                    calls = history.calls.map { if (it.kind == CallKind.SAFE) it.copy(end = CallEnd.CUT) else it },
                )
            }
        val kill = Disturbance(DisturbanceKind.KILL, "entry-1", SENT_MILLIS, END_MILLIS)
        assertEquals(listOf(Promise.MIXED), broken(foreign))
        assertEquals(emptyList<Promise>(), broken(foreign.copy(disturbances = listOf(kill))))
    }

    @Test
    fun `a stream with a missing, repeated, foreign or joined event is found`() {
        val id = CallKind.STREAM.name
        val bodies =
            listOf(
                events(id, listOf(1, 3, 4)),
                events(id, listOf(1, 2, 2, 3, 4)),
                events(id, listOf(2, 1, 3, 4)),
                events(id, 1..EVENTS + 1),
                events(id, 1 until EVENTS),
                events(id, 1..EVENTS) + "id: 5\nda",
                events(id, 1..3) + event("other", 4),
                events(id, 1..3) + event(id, 4, replica = "r-2"),
                events(id, 1..2) + "HTTP/1.1 500 Internal Server Error\n\n" + events(id, 3..EVENTS),
            )
        bodies.forEachIndexed { index, body ->
            assertEquals(listOf(Promise.ORDER), broken(withCall(CallKind.STREAM) { it.copy(body = body) }), "$index")
        }
    }

    @Test
    fun `a resumable stream may be joined from two runs, and a cut one may end within an event`() {
        val id = CallKind.RESUMABLE_STREAM.name
        val joined =
            withCall(CallKind.RESUMABLE_STREAM) { it.copy(body = events(id, 1..3) + event(id, 4, replica = "r-2")) }
        assertEquals(emptyList<Promise>(), broken(joined))
        val cut =
            withCall(CallKind.RESUMABLE_STREAM) { it.copy(end = CallEnd.CUT, body = events(id, 1..2) + "id: 3\nda") }
        val foreign =
            withCall(CallKind.RESUMABLE_STREAM) { it.copy(end = CallEnd.CUT, body = events(id, 1..2) + "replica") }
        assertEquals(listOf(Promise.LOST), broken(cut))
        assertEquals(setOf(Promise.LOST, Promise.ORDER), broken(foreign).toSet())
    }

    @Test
    fun `a request that reaches a departed replica after the drain time is found`() {
        val departure = Departure("r-1", SENT_MILLIS - 2_001)
        val late = clean.copy(departures = listOf(departure))
        assertEquals(List(CallKind.entries.size) { Promise.DRAIN }, broken(late))
        val early = clean.copy(departures = listOf(departure.copy(acknowledgedMillis = SENT_MILLIS - 1_998)))
        assertEquals(emptyList<Promise>(), broken(early))
        val outage = Disturbance(DisturbanceKind.STORE, "store", SENT_MILLIS - 100, SENT_MILLIS)
        assertEquals(emptyList<Promise>(), broken(late.copy(disturbances = listOf(outage))))
        val odd = outage.copy(kind = DisturbanceKind.ODD_ENTRY)
        assertEquals(List(CallKind.entries.size) { Promise.DRAIN }, broken(late.copy(disturbances = listOf(odd))))
    }

    @Test
    fun `a process that ended by itself is found`() {
        val ended = clean.copy(instanceFaults = listOf(InstanceFault("entry-1", 1, "ended by itself")))
        assertEquals(listOf(Promise.PROCESS), broken(ended))
    }

    /** [arrivals] calls with a part, one a second, of which the first [crashes] ended the replica that they reached. */
    private fun crashing(
        arrivals: Int,
        crashes: Int,
        disturbances: List<Disturbance> = emptyList(),
    ): History {
        val ids = (1..arrivals).map { "crashing-$it" }
        val calls =
            ids.mapIndexed { index, id ->
                val atMillis = index * SECOND
                Call(
                    id,
                    CallKind.STREAM,
                    "entry-1",
                    atMillis,
                    atMillis + 90,
                    CallEnd.CLOSED,
                    parts = listOf("a0", "dead"),
                )
            }
        val runs =
            calls.map {
                Run(
                    it.requestId,
                    "r-${it.requestId}",
                    it.sentMillis + 1,
                    it.endMillis,
                    RunEnd.BROKEN_OFF,
                )
            }
        val ends = runs.take(crashes).map { PartCrash("dead", it.replica, it.startMillis + 80) }
        return History(calls, runs, disturbances, partCrashes = ends)
    }

    private fun sound(
        fromMillis: Long,
        isServed: Boolean,
    ): History {
        val calls =
            (0 until SOUND_CALLS).map { number ->
                val id = "sound-$fromMillis-$number"
                val status = if (isServed) 200 else 503
                val atMillis = fromMillis + number
                call(CallKind.STREAM).copy(
                    requestId = id,
                    sentMillis = atMillis,
                    endMillis = atMillis + 50,
                    status = status,
                    responseId = id,
                    signature = "s-$id".takeIf { isServed },
                    body = if (isServed) events(id, 1..EVENTS) else "",
                    parts = listOf("a0", "b1"),
                )
            }
        val runs =
            calls.filter { isServed }.map {
                Run(it.requestId, "r-1", it.sentMillis + 1, it.endMillis, RunEnd.ANSWERED, "", "s-${it.requestId}")
            }
        return History(calls, runs)
    }

    private operator fun History.plus(other: History) =
        copy(calls = calls + other.calls, runs = runs + other.runs, disturbances = disturbances + other.disturbances)

    @Test
    fun `more than three arrivals of a crashing part later than the contact time break BUDGET`() {
        assertEquals(emptyList<Promise>(), broken(crashing(arrivals = 11, crashes = 5)))
        assertEquals(listOf(Promise.BUDGET), broken(crashing(arrivals = 12, crashes = 5)))
        assertEquals(emptyList<Promise>(), broken(crashing(arrivals = 12, crashes = 4)))
    }

    @Test
    fun `arrivals from an instance that is out of touch are not counted`() {
        val kill = Disturbance(DisturbanceKind.KILL, "entry-1", 7_000, 9_000)
        assertEquals(emptyList<Promise>(), broken(crashing(arrivals = 12, crashes = 5, listOf(kill))))
    }

    @Test
    fun `sound streams that are refused while a crashing part comes break LOST`() {
        val part = crashing(arrivals = 14, crashes = 3)
        val before = sound(fromMillis = -5_000, isServed = true)
        assertEquals(emptyList<Promise>(), broken(part + before + sound(fromMillis = 9_000, isServed = true)))
        assertEquals(listOf(Promise.LOST), broken(part + before + sound(fromMillis = 9_000, isServed = false)))
    }

    // Streams that replicas refused by plan were counted against a crashing part that came meanwhile.
    @Test
    fun `only sound streams during planned refusals are not counted while a crashing part comes`() {
        val before = sound(fromMillis = -5_000, isServed = true)
        val refused = sound(fromMillis = 9_000, isServed = false)

        fun brokenWith(refusals: Disturbance) = broken(crashing(14, 3, listOf(refusals)) + before + refused)
        assertEquals(emptyList<Promise>(), brokenWith(Disturbance(DisturbanceKind.REFUSALS, "replicas", 8_990, 9_040)))
        assertEquals(
            listOf(Promise.LOST),
            brokenWith(Disturbance(DisturbanceKind.REFUSALS, "replicas", 7_000, 8_990)),
        )
        assertEquals(
            listOf(Promise.LOST),
            brokenWith(Disturbance(DisturbanceKind.REPLICA_CRASH, "r-1", 8_990, 9_040)),
        )
    }

    private companion object {
        const val SECOND = 1_000L
        const val SOUND_CALLS = 30
        const val EVENTS = 4
        const val TIMEOUT_MILLIS = 1_200L
        const val CONTACT_MILLIS = 3_000L
        const val SENT_MILLIS = 10_000L
        const val END_MILLIS = 10_050L
        const val CUT_CHARACTERS = 5
    }
}
