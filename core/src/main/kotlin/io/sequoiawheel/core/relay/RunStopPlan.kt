package io.sequoiawheel.core.relay

/** What the answer of a replica to a request to stop a run says of that run. */
enum class StopAnswer {
    /** The replica stopped the run. */
    STOPPED,

    /** The replica runs no such run now. */
    NO_SUCH_RUN,

    /** Another replica serves the address, so the one that was asked has ended. */
    REPLACED,

    /** The replica refused the request, or was busy with another one for the same run. */
    REFUSED,

    /** No answer arrived, so the request may have been carried out. */
    NO_RESPONSE,

    /** No connection could be opened. */
    UNREACHABLE,

    /** The replica accepts connections, but nothing was sent because of its pause or its request limit. */
    HELD_BACK,
}

/**
 * Decides how long a replica is asked to stop a run whose generation goes on elsewhere: until an answer proves that the
 * run ended, or until the run has ended by its deadline.
 *
 * @param startMillis monotonic time of the first request
 * @param deadlineMillis when the replica ends the run by itself
 * @param hasStarted whether the replica began the response of the run. A request that still waits there is not known as
 *   a run, and may start later.
 */
class RunStopPlan(
    private val startMillis: Long,
    private val deadlineMillis: Long,
    private val hasStarted: Boolean,
) {
    /**
     * Returns whether the replica does not work on the run any more, and never will again.
     *
     * @param isListed whether the platform lists the replica's incarnation
     */
    fun isEnd(
        answer: StopAnswer,
        isListed: Boolean,
        nowMillis: Long,
    ): Boolean =
        when (answer) {
            StopAnswer.STOPPED, StopAnswer.REPLACED -> true
            StopAnswer.NO_SUCH_RUN -> hasStarted || nowMillis - startMillis >= WAITING_MILLIS
            StopAnswer.UNREACHABLE -> !isListed && nowMillis - startMillis >= UNLISTED_MILLIS
            StopAnswer.REFUSED, StopAnswer.NO_RESPONSE, StopAnswer.HELD_BACK -> false
        }

    /** Returns the delay before the next request, or null if the run is over by then. */
    fun delayMillis(nowMillis: Long): Long? {
        val elapsedMillis = nowMillis - startMillis
        val delayMillis = (elapsedMillis / ELAPSED_PARTS).coerceIn(MINIMUM_DELAY_MILLIS, MAXIMUM_DELAY_MILLIS)
        return delayMillis.takeIf { nowMillis + it < deadlineMillis }
    }

    private companion object {
        /** Time after which a request that was not started is taken to be dropped. */
        const val WAITING_MILLIS = 3_000L

        /**
         * Time after which a replica that is not listed and accepts no connection is taken to have ended. It may leave
         * the list before it ends, and a connection fails also if a packet is lost.
         */
        const val UNLISTED_MILLIS = 3_000L

        /** A refusal often ends within milliseconds, when another copy of the run is complete. */
        const val MINIMUM_DELAY_MILLIS = 20L

        /** Bounds the connections that are opened for a replica that cannot be reached for long. */
        const val MAXIMUM_DELAY_MILLIS = 1_000L

        /** The delays are a share of the time that has elapsed, so the rate falls with the time. */
        const val ELAPSED_PARTS = 4
    }
}
