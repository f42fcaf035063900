package io.sequoiawheel.core.relay

/**
 * Admission of requests during shutdown. A request that may not finish in time is refused, so that the caller retries
 * it on another instance.
 */
object ShutdownAdmission {
    /**
     * Returns whether a request received [remainingMillis] before the process exits is expected to finish in time. For
     * generations the maximum length counts, since callers' estimates are often far too short.
     *
     * @param demand expected size of a generation; null for other requests
     */
    fun canFinish(
        route: Route,
        demand: GenerationDemand?,
        remainingMillis: Long,
    ): Boolean = remainingMillis >= minOf(route.timeoutMillis, estimatedMillis(demand))

    private fun estimatedMillis(demand: GenerationDemand?): Long =
        if (demand == null) CALL_MILLIS else FIRST_TOKEN_MILLIS + demand.maximumOutputTokens * TOKEN_MILLIS

    /** Calls finish well within this time, including retries. */
    private const val CALL_MILLIS = 2_500L

    /** The deployments' latency objective for the first event is 1.5 to 1.8 s. */
    private const val FIRST_TOKEN_MILLIS = 1_500L

    /** Engines take at least 7 ms per token, 8 ms on average over a full day. */
    private const val TOKEN_MILLIS = 10L
}
