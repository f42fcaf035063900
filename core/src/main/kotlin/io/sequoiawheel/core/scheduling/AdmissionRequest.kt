package io.sequoiawheel.core.scheduling

import io.sequoiawheel.core.relay.GenerationDemand

/**
 * A generation that has not been sent.
 *
 * @property rank priority of the workspace or route; 0 is the most urgent
 * @property objectiveMillis time from the arrival to the first event that meets the objective
 * @property deadlineMillis when the caller stops waiting for the end of the stream
 * @property isInExcess whether its workspace sends many times its usual share
 */
data class AdmissionRequest(
    val rank: Int,
    val demand: GenerationDemand,
    val objectiveMillis: Long,
    val arrivedAtMillis: Long,
    val deadlineMillis: Long,
    val isInExcess: Boolean = false,
) {
    val isShort: Boolean get() = GenerationSize.isShort(demand)

    /**
     * Time after the arrival at which the request is sent anyway. A request that is sent then reaches an idle engine
     * well within its objective; holding it for an eighth of the objective costs nothing in any case.
     */
    val longestWaitMillis: Long get() {
        val readingMillis = (GenerationSize.promptMillis(demand.promptTokens.toLong()) * READING_MARGIN).toLong()
        val allowedMillis = (deadlineMillis - arrivedAtMillis) / DEADLINE_PART
        val waitMillis = minOf(objectiveMillis / 2, objectiveMillis - readingMillis, allowedMillis)
        return maxOf(waitMillis, objectiveMillis / FREE_PART, 1)
    }

    /**
     * Whether an idle engine reads the prompt within the objective. The largest requests would starve if they went
     * after all others because their objective cannot be met at any load.
     */
    val isMetByIdleEngine: Boolean
        get() = GenerationSize.promptMillis(demand.promptTokens.toLong()) <= objectiveMillis

    private companion object {
        /** Shared machines take longer than usual for a part of the time. */
        const val READING_MARGIN = 1.5

        /** Leaves the caller time for the stream. */
        const val DEADLINE_PART = 4

        /** Holding a request for an eighth of its objective costs nothing. */
        const val FREE_PART = 8
    }
}

/**
 * What a decision rests on.
 *
 * @property waitedMillis time since the arrival
 * @property firstEventMillis shortest expected time to the first event among the engines, or null if none is usable
 * @property canMeetObjective whether that is within what is left of the objective
 * @property openEngines engines below the thresholds for the request
 */
data class AdmissionInputs(
    val waitedMillis: Long,
    val firstEventMillis: Long? = null,
    val canMeetObjective: Boolean = true,
    val openEngines: Int = 0,
)

/** Why a generation was sent or not. The lower-case names are values of log fields and metric labels. */
enum class AdmissionReason {
    /** An engine is below the thresholds for the request. */
    CAPACITY,

    /** The request has waited for as long as it may. */
    LONGEST_WAIT,

    /** Waiting would change nothing: no engine is usable, or none is large enough. */
    NO_CHOICE,

    /** The instance holds as many requests as it can. */
    QUEUE_FULL,

    /** No engine is below the thresholds. */
    ENGINES_FULL,

    /** A request of higher precedence waits at this instance. */
    HELD_BACK,

    /** The expected end is after the deadline. */
    DEADLINE,
}

/** The decision on one request at one time. */
sealed interface AdmissionDecision {
    val reason: AdmissionReason
    val inputs: AdmissionInputs

    /**
     * The request is sent now.
     *
     * @property isDeferrable whether requests that can still meet their objective go before it at the engine
     */
    data class Admit(
        override val reason: AdmissionReason,
        override val inputs: AdmissionInputs,
        val isDeferrable: Boolean = false,
    ) : AdmissionDecision

    /** The request waits for another decision. */
    data class Wait(
        override val reason: AdmissionReason,
        override val inputs: AdmissionInputs,
    ) : AdmissionDecision

    /** The request cannot be served in time; its caller may try again after [retryAfterMillis]. */
    data class Refuse(
        override val inputs: AdmissionInputs,
        val retryAfterMillis: Long,
    ) : AdmissionDecision {
        override val reason get() = AdmissionReason.DEADLINE
    }
}
