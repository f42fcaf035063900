package io.sequoiawheel.core.relay

/** What is done about two replicas that may work on one generation at the same time. */
enum class OverlapDecision {
    /** Nothing yet. */
    WAIT,

    /** The newest attempt is given up, and its run stopped. */
    GIVE_UP_NEWEST,

    /** All other runs are left, and stopped. */
    LEAVE_OTHERS,
}

/**
 * Bounds the time in which two replicas work on one generation while the response head of the newest attempt is late:
 * the replica may work on it long before its head arrives. A source whose stream makes progress is kept and the newest
 * attempt given up, so that a replica without a response does not cost the stream.
 */
class OverlapPlan {
    private var givenUp = 0

    /**
     * Decides about an attempt that was sent [sinceSendMillis] ago and has no head yet.
     *
     * @param isSourceInProgress whether the stream of another replica is read and makes progress
     */
    fun decide(
        sinceSendMillis: Long,
        isSourceInProgress: Boolean,
    ): OverlapDecision =
        when {
            sinceSendMillis < LATE_MILLIS -> OverlapDecision.WAIT
            !isSourceInProgress -> OverlapDecision.LEAVE_OTHERS
            givenUp == MAXIMUM_GIVEN_UP -> OverlapDecision.WAIT
            else -> OverlapDecision.GIVE_UP_NEWEST.also { givenUp++ }
        }

    private companion object {
        /** With the time until a run is stopped, less than 400 ms, the longest overlap of two runs. */
        const val LATE_MILLIS = 220L

        /** The source of a planned move has time for about three attempts before it exits. */
        const val MAXIMUM_GIVEN_UP = 2
    }
}
