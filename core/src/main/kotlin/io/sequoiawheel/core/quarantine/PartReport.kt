/*
 * What instances tell each other about prompt parts, as a field of their load messages. Instances share no clock, so
 * times are ages. All lists are bounded; a receiver ignores what exceeds the bounds.
 */
package io.sequoiawheel.core.quarantine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * @property crashes replicas that ended a short time ago
 * @property survivals age in milliseconds, by part, of the begin of the latest response that went on, for parts that
 *   a crash speaks against
 * @property verdicts parts under quarantine, and those that were released
 */
@Serializable
data class PartReport(
    @SerialName("c") val crashes: List<ReportedCrash> = emptyList(),
    @SerialName("s") val survivals: Map<PromptPart, Long> = emptyMap(),
    @SerialName("v") val verdicts: List<ReportedVerdict> = emptyList(),
) {
    /** Returns the valid content within the bounds. */
    internal fun bounded() =
        PartReport(
            crashes.filter { it.isValid }.take(MAXIMUM_CRASHES).map { it.bounded() },
            survivals.entries
                .filter { it.value in MILLIS && it.key.id.length <= MAXIMUM_ID_LENGTH }
                .take(MAXIMUM_SURVIVALS)
                .associate { it.toPair() },
            verdicts.filter { it.isValid }.take(MAXIMUM_VERDICTS),
        )

    companion object {
        val NONE = PartReport()

        /** Longer ids are ignored, so that callers cannot make load messages large. */
        const val MAXIMUM_ID_LENGTH = 32
        internal const val MAXIMUM_REPLICA_LENGTH = 128
        internal const val MAXIMUM_CRASHES = 16
        internal const val MAXIMUM_PARTS_PER_CRASH = 16
        internal const val MAXIMUM_SURVIVALS = 32
        internal const val MAXIMUM_VERDICTS = 32

        /** Times of one day at most, far beyond those that instances report. */
        internal val MILLIS = 0L..86_400_000L

        /** Far beyond the number of changes of a verdict. */
        internal const val MAXIMUM_REVISION = 1_000_000
    }
}

/** A replica that ended, with the parts of the requests that were lost with it. */
@Serializable
data class ReportedCrash(
    @SerialName("r") val replica: String,
    @SerialName("b") val startedAtMillis: Long? = null,
    @SerialName("a") val ageMillis: Long,
    @SerialName("w") val writing: List<PromptPart> = emptyList(),
    @SerialName("q") val waiting: List<PromptPart> = emptyList(),
    @SerialName("x") val isRefuted: Boolean = false,
) {
    internal val isValid: Boolean
        get() = ageMillis in PartReport.MILLIS && replica.length <= PartReport.MAXIMUM_REPLICA_LENGTH

    internal fun bounded() = copy(writing = writing.bounded(), waiting = waiting.bounded())

    private fun List<PromptPart>.bounded() =
        filter { it.id.length <= PartReport.MAXIMUM_ID_LENGTH }.take(PartReport.MAXIMUM_PARTS_PER_CRASH)
}

/**
 * The state of one verdict. Of two states of a part, the one with the higher [revision] is in force.
 *
 * @property accusedForMillis age of the first crash that led to the verdict
 * @property probeInMillis time until the next probe may be sent
 * @property holder the instance that may send the next probe
 * @property heldForMillis how long [holder] has been that instance
 * @property unseenForMillis time since a request with the part arrived at any instance
 */
@Serializable
data class ReportedVerdict(
    @SerialName("p") val part: PromptPart,
    @SerialName("n") val revision: Int,
    @SerialName("f") val isInForce: Boolean = true,
    @SerialName("a") val accusedForMillis: Long,
    @SerialName("d") val probeInMillis: Long,
    @SerialName("h") val holder: String,
    @SerialName("t") val heldForMillis: Long,
    @SerialName("m") val probes: Int = 0,
    @SerialName("u") val unseenForMillis: Long,
) {
    internal val isValid: Boolean
        get() =
            part.id.length <= PartReport.MAXIMUM_ID_LENGTH &&
                revision in 1..PartReport.MAXIMUM_REVISION &&
                probes in 0..revision &&
                listOf(accusedForMillis, probeInMillis, heldForMillis, unseenForMillis).all { it in PartReport.MILLIS }
}
