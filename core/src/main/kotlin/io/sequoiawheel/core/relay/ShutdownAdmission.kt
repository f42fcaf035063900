package io.sequoiawheel.core.relay

/**
 * Which requests an instance still takes while it shuts down. A request that may not end in time is better served by
 * another instance, which the caller reaches when it comes back.
 */
object ShutdownAdmission {
    /**
     * Returns whether a request that comes [remainingMillis] before the end of the process should end in time.
     *
     * @param demand what a generation will need; null for other requests
     */
    fun mayEnd(
        route: Route,
        demand: GenerationDemand?,
        remainingMillis: Long,
    ): Boolean = remainingMillis >= minOf(route.timeoutMillis, neededMillis(demand))

    private fun neededMillis(demand: GenerationDemand?): Long =
        if (demand == null) CALL_MILLIS else FIRST_TOKEN_MILLIS + demand.outputTokens * TOKEN_MILLIS

    /** Calls end well within this time, repeats included. */
    private const val CALL_MILLIS = 2_500L

    /** The objective for the first event of the deployments is 1.5 to 1.8 s. */
    private const val FIRST_TOKEN_MILLIS = 1_500L

    /** Engines make a token in 7 ms and more, 8 ms in the mean of a full day. */
    private const val TOKEN_MILLIS = 10L
}
