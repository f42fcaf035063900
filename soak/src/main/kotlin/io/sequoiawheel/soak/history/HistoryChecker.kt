/*
 * Decides from a recorded history which promises were broken. Everything here is a pure function of the history, so a
 * verdict can be repeated and the checker can be tested with planted faults.
 */
package io.sequoiawheel.soak.history

import kotlinx.serialization.Serializable

/** A promise that a run puts to the test; docs/soak.md says when each is broken. */
@Serializable
enum class Promise { LOST, TWICE, REFUSED, MIXED, ORDER, DRAIN, BUDGET, PROCESS }

/** A broken promise. [requestId] is empty if it concerns no single request. */
@Serializable
data class Violation(
    val promise: Promise,
    val requestId: String,
    val instance: String,
    val atMillis: Long,
    val detail: String,
)

/**
 * Result of a check: [tested] counts how often each promise was put to the test, [excused] the losses by excuse, and
 * [continued] the runs that went on from another one.
 */
@Serializable
data class Verdict(
    val violations: List<Violation>,
    val tested: Map<Promise, Int>,
    val excused: Map<String, Int>,
    val continued: Int = 0,
) {
    fun count(promise: Promise): Int = violations.count { it.promise == promise }
}

/**
 * @param eventsPerStream number of events in every stream
 * @param timeoutMillis time in which a call of a kind has to be answered
 * @param bounds bounds of the deployment
 */
class HistoryChecker(
    private val eventsPerStream: Int,
    private val timeoutMillis: (CallKind) -> Long,
    private val bounds: CheckBounds,
) {
    fun check(history: History): Verdict {
        val runs = history.runs.groupBy { it.requestId }
        val excuses = LossExcuses(history.disturbances, timeoutMillis, bounds)
        val passedOn = history.calls.filter { it.requestId in runs }
        val lost = passedOn.filter { it.end == CallEnd.CLOSED || it.end == CallEnd.CUT }
        val excuseOf = lost.associateWith { excuses.find(it, runs.getValue(it.requestId)) }
        val single = passedOn.filterNot { it.kind.isRepeatable }
        val refusals = single.filter { it.end == CallEnd.ANSWERED && it.status in REFUSAL_STATUSES }
        val successes = history.calls.filter { it.status in SUCCESS_STATUSES }
        val streams = successes.filter { it.kind.isStream && it.end != CallEnd.LEFT }
        val departures = history.departures.associateBy { it.replica }
        val callsById = history.calls.associateBy { it.requestId }
        val answers = AnswerCheck(history)
        val violations =
            PartCheck(history, bounds).check() +
                MoveCheck(history, bounds).check() +
                excuseOf.filterValues { it == null }.keys.map { lostCall(it, runs.getValue(it.requestId)) } +
                single.mapNotNull { checkSingleRun(it, runs.getValue(it.requestId)) } +
                refusals.mapNotNull { checkRefusal(it, runs.getValue(it.requestId)) } +
                history.calls.mapNotNull { answers.check(it, runs[it.requestId].orEmpty()) } +
                streams.mapNotNull { checkOrder(it, runs[it.requestId].orEmpty()) } +
                history.runs.mapNotNull { checkDeparture(it, departures, callsById, history.disturbances) } +
                history.instanceFaults.map { Violation(Promise.PROCESS, "", it.instance, it.atMillis, it.detail) }
        val tested =
            mapOf(
                Promise.LOST to passedOn.count { it.end != CallEnd.LEFT },
                Promise.TWICE to single.size,
                Promise.REFUSED to refusals.size,
                Promise.MIXED to history.calls.count { it.status != null },
                Promise.ORDER to streams.size,
                Promise.DRAIN to history.runs.size,
                Promise.BUDGET to history.partCrashes.distinctBy { it.part }.size,
                Promise.PROCESS to history.calls.distinctBy { it.instance }.size,
            )
        val excused =
            excuseOf.values
                .filterNotNull()
                .groupingBy { it }
                .eachCount()
        val continued = history.runs.count { it.hasRun && it.isContinuation }
        return Verdict(violations.sortedBy { it.atMillis }, tested, excused, continued)
    }

    private fun lostCall(
        call: Call,
        runs: List<Run>,
    ) = violation(
        Promise.LOST,
        call,
        "sent at ${call.sentMillis}, ${call.end} at ${call.endMillis} after ${describe(runs)}",
    )

    private fun checkSingleRun(
        call: Call,
        runs: List<Run>,
    ): Violation? =
        violation(Promise.TWICE, call, "status ${call.status} after ${describe(runs)}")
            .takeIf { runs.count { it.hasRun && !it.isContinuation } > 1 }

    private fun checkRefusal(
        call: Call,
        runs: List<Run>,
    ): Violation? =
        violation(Promise.REFUSED, call, "status ${call.status}, yet ${describe(runs)}")
            .takeIf { runs.any { it.hasRun } }

    /** Checks the events that a stream delivered. Text that is cut off at the end may be the start of an event. */
    private fun checkOrder(
        call: Call,
        runs: List<Run>,
    ): Violation? {
        val pieces = call.body.split("\n\n")
        val events = pieces.dropLast(1).map { EVENT.matchEntire(it) }
        val replicas = events.mapNotNull { it?.groupValues?.get(REPLICA_GROUP) }.distinct()
        val continuing = runs.filter { it.hasRun && it.isContinuation }.map { it.replica }
        val numbers = events.map { it?.groupValues?.get(1)?.toIntOrNull() }
        val fault =
            when {
                null in numbers -> "text that is no event: ${pieces[numbers.indexOf(null)].take(SHOWN_CHARACTERS)}"
                numbers != (1..numbers.size).toList() -> "events $numbers"
                events.any { it?.groupValues?.get(2) != call.requestId } -> "an event of another request"
                !call.kind.isRepeatable && (replicas.drop(1) - continuing.toSet()).isNotEmpty() -> "two runs joined"
                call.end == CallEnd.ANSWERED && (numbers.size != eventsPerStream || pieces.last().isNotEmpty()) ->
                    "complete after ${numbers.size} of $eventsPerStream events"
                !isStartOfEvent(pieces.last()) -> "text that starts no event: ${pieces.last().take(SHOWN_CHARACTERS)}"
                else -> null
            }
        return fault?.let { violation(Promise.ORDER, call, it) }
    }

    private fun isStartOfEvent(text: String) = text.startsWith(EVENT_START) || EVENT_START.startsWith(text)

    private fun checkDeparture(
        run: Run,
        departures: Map<String, Departure>,
        calls: Map<String, Call>,
        disturbances: List<Disturbance>,
    ): Violation? {
        val departure = departures[run.replica] ?: return null
        val call = calls[run.requestId] ?: return null
        val lateMillis = run.startMillis - departure.acknowledgedMillis
        val isExcused =
            disturbances.any {
                (it.target == call.instance && it.kind in OUT_OF_TOUCH || it.kind == DisturbanceKind.STORE) &&
                    it.overlaps(departure.acknowledgedMillis - bounds.contactMillis, run.startMillis)
            }
        if (lateMillis <= bounds.drainMillis || isExcused) return null
        return violation(Promise.DRAIN, call, "reached ${run.replica} $lateMillis ms after it announced its leaving")
    }

    private companion object {
        val REFUSAL_STATUSES = setOf(408, 421, 429, 503)
        val OUT_OF_TOUCH = DisturbanceKind.entries - DisturbanceKind.ODD_ENTRY - DisturbanceKind.RELOAD
        val EVENT = Regex("""id: (\d+)\ndata: piece \1 of (\S+) by (\S+)""")
        const val REPLICA_GROUP = 3
        const val EVENT_START = "id: "
        const val SHOWN_CHARACTERS = 60
    }
}

internal val SUCCESS_STATUSES = 200..299

internal fun violation(
    promise: Promise,
    call: Call,
    detail: String,
) = Violation(promise, call.requestId, call.instance, call.endMillis, "${call.kind}: $detail")

internal fun describe(runs: List<Run>): String =
    if (runs.isEmpty()) {
        "no run"
    } else {
        runs.sortedBy { it.startMillis }.joinToString { run ->
            val status = if (run.hasRun && run.status !in SUCCESS_STATUSES) " with ${run.status}" else ""
            val copy = if (run.isContinuation) " from a copy" else ""
            val notes = run.notes.joinToString("") { ", $it" }
            val stream = run.streamEnd?.let { ", stream $it at ${run.streamEndMillis}" }.orEmpty()
            val time = "at ${run.startMillis} until ${run.endMillis ?: "the end"}"
            "${run.end}$status ${run.replica}$copy $time$stream$notes"
        }
    }
