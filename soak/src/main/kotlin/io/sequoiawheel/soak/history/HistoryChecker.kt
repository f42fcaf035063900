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

/** Result of a check: [tested] counts how often each promise was put to the test, [excused] the losses by excuse. */
@Serializable
data class Verdict(
    val violations: List<Violation>,
    val tested: Map<Promise, Int>,
    val excused: Map<String, Int>,
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
        val violations =
            PartCheck(history, bounds).check() +
                excuseOf.filterValues { it == null }.keys.map { lostCall(it, runs.getValue(it.requestId)) } +
                single.mapNotNull { checkSingleRun(it, runs.getValue(it.requestId)) } +
                refusals.mapNotNull { checkRefusal(it, runs.getValue(it.requestId)) } +
                history.calls.mapNotNull { checkBytes(it, runs[it.requestId].orEmpty(), history.disturbances) } +
                streams.mapNotNull(::checkOrder) +
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
        return Verdict(violations.sortedBy { it.atMillis }, tested, excused)
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
            .takeIf { runs.count { it.hasRun } > 1 }

    private fun checkRefusal(
        call: Call,
        runs: List<Run>,
    ): Violation? =
        violation(Promise.REFUSED, call, "status ${call.status}, yet ${describe(runs)}")
            .takeIf { runs.any { it.hasRun } }

    /** Checks that every byte which the caller received belongs to a replica's response to this very call. */
    private fun checkBytes(
        call: Call,
        runs: List<Run>,
        disturbances: List<Disturbance>,
    ): Violation? {
        val isCutOutside =
            disturbances.any {
                it.target == call.instance && it.kind in CUTTING && it.overlaps(call.sentMillis, call.endMillis)
            }
        val fault =
            when {
                call.strayBytes > 0 -> "${call.strayBytes} bytes after the response"
                call.end == CallEnd.CUT && call.status == null && !isCutOutside -> "bytes that are no response"
                call.status == null -> null
                call.responseId != null && call.responseId != call.requestId -> "answer to ${call.responseId}"
                call.status !in SUCCESS_STATUSES -> null
                call.signature == null -> "success without a signature"
                else -> checkSuccess(call, runs.filter { it.hasRun })
            }
        return fault?.let { violation(Promise.MIXED, call, "$it; ${describe(runs)}") }
    }

    private fun checkSuccess(
        call: Call,
        runs: List<Run>,
    ): String? {
        val signed = runs.filter { it.signature == call.signature }
        return when {
            signed.isEmpty() -> "signature ${call.signature} of no run"
            call.kind.isStream || call.end != CallEnd.ANSWERED -> null
            signed.none { it.body == call.body } -> "another body than the replica's"
            else -> null
        }
    }

    /** Checks the events that a stream delivered. Text that is cut off at the end may be the start of an event. */
    private fun checkOrder(call: Call): Violation? {
        val pieces = call.body.split("\n\n")
        val events = pieces.dropLast(1).map { EVENT.matchEntire(it) }
        val replicas = events.mapNotNull { it?.groupValues?.get(REPLICA_GROUP) }.distinct()
        val numbers = events.map { it?.groupValues?.get(1)?.toIntOrNull() }
        val fault =
            when {
                null in numbers -> "text that is no event: ${pieces[numbers.indexOf(null)].take(SHOWN_CHARACTERS)}"
                numbers != (1..numbers.size).toList() -> "events $numbers"
                events.any { it?.groupValues?.get(2) != call.requestId } -> "an event of another request"
                !call.kind.isRepeatable && replicas.size > 1 -> "two runs joined"
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

    private fun violation(
        promise: Promise,
        call: Call,
        detail: String,
    ) = Violation(promise, call.requestId, call.instance, call.endMillis, "${call.kind}: $detail")

    private fun describe(runs: List<Run>): String =
        if (runs.isEmpty()) {
            "no run"
        } else {
            runs.sortedBy { it.startMillis }.joinToString { "${it.end} ${it.replica} at ${it.startMillis}" }
        }

    private companion object {
        val SUCCESS_STATUSES = 200..299
        val REFUSAL_STATUSES = setOf(408, 421, 429, 503)
        val OUT_OF_TOUCH = DisturbanceKind.entries - DisturbanceKind.ODD_ENTRY - DisturbanceKind.RELOAD
        val CUTTING = setOf(DisturbanceKind.KILL, DisturbanceKind.CALLER_PATH)
        val EVENT = Regex("""id: (\d+)\ndata: piece \1 of (\S+) by (\S+)""")
        const val REPLICA_GROUP = 3
        const val EVENT_START = "id: "
        const val SHOWN_CHARACTERS = 60
    }
}
