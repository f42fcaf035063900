package io.sequoiawheel.core.quarantine

/**
 * A verdict on [part]; times are those of the local clock in milliseconds.
 *
 * @property revision increases with each change; the highest one in the fleet is in force
 * @property accusedAtMillis when the first crash happened that led to the verdict
 * @property probeDueMillis when the next probe may be sent
 * @property holder the instance that may send the next probe
 * @property heldSinceMillis when [holder] became that instance
 * @property seenMillis when a request with the part last arrived at any instance
 */
internal data class Verdict(
    val part: PromptPart,
    val revision: Int,
    val isInForce: Boolean,
    val accusedAtMillis: Long,
    val probeDueMillis: Long,
    val holder: String,
    val heldSinceMillis: Long,
    val probes: Int,
    val seenMillis: Long,
) {
    fun report(nowMillis: Long) =
        ReportedVerdict(
            part,
            revision,
            isInForce,
            accusedForMillis = (nowMillis - accusedAtMillis).coerceAtLeast(0),
            probeInMillis = (probeDueMillis - nowMillis).coerceAtLeast(0),
            holder,
            heldForMillis = (nowMillis - heldSinceMillis).coerceAtLeast(0),
            probes,
            unseenForMillis = (nowMillis - seenMillis).coerceAtLeast(0),
        )

    /** Returns the state in force after [other] was received, which may be this one. */
    fun merge(other: Verdict): Verdict {
        val winner = maxOf(this, other, ORDER)
        return winner.copy(seenMillis = maxOf(seenMillis, other.seenMillis))
    }

    companion object {
        /** Two instances that decide at once agree on the holder with the first name. */
        private val ORDER =
            compareBy<Verdict>(
                { it.revision },
                { it.isInForce },
                { it.probes },
            ).thenByDescending { it.holder }

        fun received(
            report: ReportedVerdict,
            nowMillis: Long,
        ) = Verdict(
            report.part,
            report.revision,
            report.isInForce,
            accusedAtMillis = nowMillis - report.accusedForMillis,
            probeDueMillis = nowMillis + report.probeInMillis,
            report.holder,
            heldSinceMillis = nowMillis - report.heldForMillis,
            report.probes,
            seenMillis = nowMillis - report.unseenForMillis,
        )
    }
}
