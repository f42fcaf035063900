package io.sequoiawheel.core.admission

/**
 * Spaces out the prefills of one replica so that they do not overlap. A step that computes two prompts delays every
 * running generation, and both first tokens arrive later than on two replicas. Thread-safe.
 *
 * @param tokensPerMillisecond prompt tokens that a replica computes per millisecond while it runs generations
 */
class PrefillPacer(
    private val tokensPerMillisecond: Double = 17.0,
) {
    private var busyUntilMillis = Long.MIN_VALUE

    /** Returns whether an earlier prompt is probably still being computed. */
    @Synchronized
    fun isBusy(nowMillis: Long): Boolean = nowMillis < busyUntilMillis

    /** Records that a prompt of [promptTokens] is dispatched now. */
    @Synchronized
    fun start(
        promptTokens: Int,
        nowMillis: Long,
    ) {
        busyUntilMillis = nowMillis + MINIMUM_MILLIS + (promptTokens / tokensPerMillisecond).toLong()
    }

    private companion object {
        /** About one step of a busy engine: even a short prompt waits for the current step to end. */
        const val MINIMUM_MILLIS = 30L
    }
}
