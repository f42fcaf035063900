package io.sequoiawheel.core.admission.internal

import kotlin.math.exp

/** An exponentially weighted moving rate of dispatched tokens. */
internal class DrainRate(
    private val timeConstantMillis: Double = 10_000.0,
) {
    private var tokens = 0.0
    private var startedAtMillis: Long? = null
    private var updatedAtMillis = 0L

    fun add(
        dispatched: Long,
        nowMillis: Long,
    ) {
        if (startedAtMillis == null) startedAtMillis = nowMillis
        decay(nowMillis)
        tokens += dispatched
    }

    /** Returns the tokens per millisecond, or null until [MINIMUM_AGE_MILLIS] after the first dispatch. */
    fun perMillisecond(nowMillis: Long): Double? {
        val age = nowMillis - (startedAtMillis ?: return null)
        if (age < MINIMUM_AGE_MILLIS) return null
        decay(nowMillis)
        val effectiveMillis = timeConstantMillis * (1 - exp(-age / timeConstantMillis))
        return (tokens / effectiveMillis).takeIf { it > 0 }
    }

    private fun decay(nowMillis: Long) {
        val elapsed = nowMillis - updatedAtMillis
        if (elapsed <= 0) return
        tokens *= exp(-elapsed / timeConstantMillis)
        updatedAtMillis = nowMillis
    }

    private companion object {
        /** A rate over a shorter period mostly reflects when the first requests happened to be dispatched. */
        const val MINIMUM_AGE_MILLIS = 2_000L
    }
}
