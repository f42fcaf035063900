/*
 * Output lengths are not known in advance. They are learned from the generations that ended recently, as precisely as
 * the number of samples allows: per workspace and kind, else per kind, else per service, else from a prior.
 */
package io.sequoiawheel.core.admission

import io.sequoiawheel.core.admission.internal.LengthHistory
import io.sequoiawheel.core.model.ServiceName
import kotlin.math.ln

/**
 * Learns output lengths and predicts them. Thread-safe. At most [maximumGroups] histories of workspaces are kept, the
 * ones used least recently are dropped; services and kinds are bounded by the same number.
 *
 * @param windowSamples lengths per window; one to two windows are remembered
 * @param minimumSamples lengths that a group needs before it is believed
 */
class LengthEstimator(
    private val maximumGroups: Int = 2_048,
    private val windowSamples: Int = 512,
    private val minimumSamples: Int = 12,
) {
    private val workspaces = boundedMap<LengthKey>()
    private val kinds = boundedMap<Pair<ServiceName, String>>()
    private val services = boundedMap<ServiceName>()

    /** Histories of workspaces that are kept now. */
    val groups: Int get() = synchronized(workspaces) { workspaces.size }

    /** Records that a generation of [key] ended after [tokens] tokens. */
    fun record(
        key: LengthKey,
        tokens: Int,
    ) {
        workspaces.obtain(key).record(tokens)
        kinds.obtain(key.service to key.kind).record(tokens)
        services.obtain(key.service).record(tokens)
    }

    /** Returns the output length in tokens at quantile [q], given that [produced] tokens exist; above [produced]. */
    fun quantile(
        key: LengthKey,
        produced: Int,
        q: Double,
    ): Int {
        val learned =
            workspaces.find(key)?.quantile(produced, q, minimumSamples)
                ?: kinds.find(key.service to key.kind)?.quantile(produced, q, minimumSamples)
                ?: services.find(key.service)?.quantile(produced, q, minimumSamples)
        return maxOf(learned ?: prior(produced, q), produced + 1)
    }

    /** Returns the output lengths in tokens at five evenly spaced quantiles, given that [produced] tokens exist. */
    fun spread(
        key: LengthKey,
        produced: Int,
    ): List<Int> = SPREAD.map { quantile(key, produced, it) }

    /** A heavy tail: of the outputs that reached [produced] tokens, half reach twice as many. */
    private fun prior(
        produced: Int,
        q: Double,
    ): Int {
        val base = maxOf(produced, PRIOR_MINIMUM_TOKENS)
        val doublings = -ln(1 - q.coerceIn(0.0, MAXIMUM_QUANTILE)) / ln(2.0)
        return (base * Math.pow(2.0, doublings)).toInt()
    }

    private fun <K : Any> boundedMap() =
        object : LinkedHashMap<K, LengthHistory>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<K, LengthHistory>) = size > maximumGroups
        }

    private fun <K : Any> MutableMap<K, LengthHistory>.obtain(key: K): LengthHistory =
        synchronized(this) { getOrPut(key) { LengthHistory(windowSamples) } }

    private fun <K : Any> MutableMap<K, LengthHistory>.find(key: K): LengthHistory? = synchronized(this) { get(key) }

    private companion object {
        /** The prior's shortest output, in tokens, used until the first generations have ended. */
        const val PRIOR_MINIMUM_TOKENS = 512
        val SPREAD = listOf(0.1, 0.3, 0.5, 0.7, 0.9)
        const val MAXIMUM_QUANTILE = 0.99
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
