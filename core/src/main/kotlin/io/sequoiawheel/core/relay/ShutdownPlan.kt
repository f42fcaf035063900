package io.sequoiawheel.core.relay

/** Stages of a shutdown, in their order. */
enum class ShutdownStage {
    /** Connections and requests are accepted, since the load balancer may still choose the instance. */
    ACCEPTING,

    /** No connection is accepted; each open one closes as soon as no request is left on it. */
    CLOSING,

    /** The process may exit. */
    ENDED,
}

/**
 * The course of a shutdown. Its end depends on the connections and not on the requests in progress: an open connection
 * may deliver a request at any time, and may hold the rest of a response that its caller has not read yet.
 *
 * @param startMillis monotonic time of the signal
 * @param graceMillis time from the signal until the process must exit
 */
class ShutdownPlan(
    private val startMillis: Long,
    private val graceMillis: Long,
) {
    /** Returns the time until the process must exit; negative once it is over. */
    fun remainingMillis(nowMillis: Long): Long = startMillis + graceMillis - nowMillis

    /**
     * Returns the stage to be in. The end always follows [ShutdownStage.CLOSING], even if the process was paused for
     * the whole grace period.
     *
     * @param isClosing whether the connections were told to close
     * @param openConnections number of connections that are not closed yet, with unsent responses included
     */
    fun stage(
        nowMillis: Long,
        isClosing: Boolean,
        openConnections: Int,
    ): ShutdownStage =
        when {
            !isClosing && nowMillis - startMillis < minOf(BALANCER_REMOVAL_MILLIS, graceMillis) ->
                ShutdownStage.ACCEPTING
            !isClosing || (openConnections > 0 && remainingMillis(nowMillis) > 0) -> ShutdownStage.CLOSING
            else -> ShutdownStage.ENDED
        }

    private companion object {
        /** The load balancer checks readiness once a second and removes an instance after two failed checks. */
        const val BALANCER_REMOVAL_MILLIS = 2_600L
    }
}
