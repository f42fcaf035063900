/*
 * Checks that every byte which a caller received belongs to a replica's response to this very call, and that the
 * response is the one that the replica gave.
 */
package io.sequoiawheel.soak.history

internal class AnswerCheck(
    private val history: History,
) {
    private val runsByBody = history.runs.filter { it.hasRun && it.body.isNotEmpty() }.groupBy { it.body }

    /** Returns how the response to [call] is not its own or not whole. [runs] are its arrivals at replicas. */
    fun check(
        call: Call,
        runs: List<Run>,
    ): Violation? {
        val isCutOutside =
            history.disturbances.any {
                it.target == call.instance && it.kind in CUTTING && it.overlaps(call.sentMillis, call.endMillis)
            }
        val ran = runs.filter { it.hasRun }
        val fault =
            when {
                call.strayBytes > 0 -> "${call.strayBytes} bytes after the response"
                call.end == CallEnd.CUT && call.status == null && !isCutOutside -> "bytes that are no response"
                call.status == null -> null
                call.responseId != null && call.responseId != call.requestId -> "answer to ${call.responseId}"
                call.signature != null -> checkSigned(call, ran)
                call.status in SUCCESS_STATUSES -> "success without a signature"
                else -> checkUnsigned(call)
            }
        return fault?.let { violation(Promise.MIXED, call, "$it; ${describe(runs)}") }
    }

    private fun checkSigned(
        call: Call,
        runs: List<Run>,
    ): String? {
        val signed = runs.filter { it.signature == call.signature }
        val isStream = call.kind.isStream && call.status in SUCCESS_STATUSES
        return when {
            signed.isEmpty() -> "signature ${call.signature} of no run"
            signed.none { it.status == call.status } ->
                "status ${call.status} where the replica answered ${signed.first().status}"
            isStream || call.end != CallEnd.ANSWERED -> null
            signed.none { it.body == call.body && it.status == call.status } -> "another body than the replica's"
            else -> null
        }
    }

    /** A failure of the instance itself has a body that no replica wrote. */
    private fun checkUnsigned(call: Call): String? {
        val owners = runsByBody[call.body].orEmpty()
        return when {
            owners.isEmpty() -> null
            owners.none { it.requestId == call.requestId } -> "body of the answer to ${owners.first().requestId}"
            owners.none { it.requestId == call.requestId && it.status == call.status } ->
                "status ${call.status} with the body of an answer with ${owners.first().status}"
            else -> null
        }
    }

    private companion object {
        val CUTTING = setOf(DisturbanceKind.KILL, DisturbanceKind.CALLER_PATH)
    }
}
