/*
 * Checks calls whose prompts have a part on which replicas crash: how many reach replicas once the part is known, and
 * whether other calls are served meanwhile.
 */
package io.sequoiawheel.soak.history

internal class PartCheck(
    private val history: History,
    private val bounds: CheckBounds,
) {
    private val calls = history.calls.associateBy { it.requestId }
    private val runs = history.runs.groupBy { it.requestId }
    private val crashes = history.partCrashes.groupBy({ it.part }, { it.atMillis }).mapValues { it.value.sorted() }

    fun check(): List<Violation> = crashes.keys.flatMap { listOfNotNull(checkArrivals(it), checkSound(it)) }

    private fun checkArrivals(part: String): Violation? {
        val first = late(part).drop(ALLOWED_ARRIVALS).firstOrNull() ?: return null
        val call = calls.getValue(first.requestId)
        val detail = "${late(part).size} arrivals of $part after ${crashes.getValue(part).size} crashes"
        return Violation(Promise.BUDGET, call.requestId, call.instance, first.startMillis, detail)
    }

    /** Arrivals later than the contact time after the fifth crash, from instances in touch. */
    private fun late(part: String): List<Run> {
        val fifth = crashes.getValue(part).getOrNull(DECIDING_CRASHES - 1) ?: return emptyList()
        return history.runs
            .filter { run -> run.startMillis > fifth + bounds.contactMillis && part in partsOf(run) }
            .filterNot { run -> isOutOfTouch(calls.getValue(run.requestId).instance, run.startMillis) }
            .sortedBy { it.startMillis }
    }

    private fun checkSound(part: String): Violation? {
        val known = crashes.getValue(part).let { it.getOrNull(DECIDING_CRASHES - 1) ?: it.last() }
        val lastSend = history.calls.filter { part in it.parts }.maxOf { it.sentMillis }
        val meanwhile =
            sound().filter { it.sentMillis in known + bounds.contactMillis * 2..lastSend }.filterNot(::isRefused)
        val outside = sound().filter { call -> isQuiet(call) }
        if (minOf(meanwhile.size, outside.size) < MINIMUM_CALLS) return null
        val share = begunShare(meanwhile)
        val usual = begunShare(outside)
        if (share * 2 >= usual) return null
        val detail = "$share of the sound streams begin at the first attempt while $part comes, otherwise $usual"
        return Violation(Promise.LOST, "", "", known, detail)
    }

    private fun sound() =
        history.calls.filter { call ->
            val isMeasured = call.kind.isStream && call.end != CallEnd.LEFT && call.end != CallEnd.NOT_SENT
            isMeasured && call.parts.none { it in crashes } && !isOutOfTouch(call.instance, call.sentMillis)
        }

    private fun begunShare(measured: List<Call>) = measured.count(::hasBegunAtFirst).toDouble() / measured.size

    private fun hasBegunAtFirst(call: Call) = call.status == OK && runs[call.requestId].orEmpty().count() == 1

    /** Whether nothing was disturbed at the time, and no part crashed replicas. */
    private fun isQuiet(call: Call): Boolean =
        history.disturbances.none { it.overlaps(call.sentMillis - bounds.contactMillis, call.endMillis) }

    /** Whether replicas refused all requests at the time, which cannot begin at the first attempt then. */
    private fun isRefused(call: Call): Boolean =
        history.disturbances.any { it.kind == DisturbanceKind.REFUSALS && it.overlaps(call.sentMillis, call.endMillis) }

    private fun isOutOfTouch(
        instance: String,
        atMillis: Long,
    ) = history.disturbances.any {
        (it.target == instance || it.kind == DisturbanceKind.STORE) &&
            it.kind != DisturbanceKind.RELOAD &&
            it.overlaps(atMillis - bounds.contactMillis, atMillis)
    }

    private fun partsOf(run: Run) = calls[run.requestId]?.parts.orEmpty()

    private companion object {
        const val OK = 200
        const val DECIDING_CRASHES = 5
        const val ALLOWED_ARRIVALS = 3
        const val MINIMUM_CALLS = 20
    }
}
