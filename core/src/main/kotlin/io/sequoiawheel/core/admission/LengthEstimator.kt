/*
 * Estimates output lengths from the generations that ended recently, at the finest granularity with enough samples: per
 * workspace and kind, else per kind, else per service, else from a prior distribution.
 */
package io.sequoiawheel.core.admission

import io.sequoiawheel.core.admission.internal.LengthHistory
import io.sequoiawheel.core.model.ServiceName
import kotlin.math.ln

/**
 * Learns output lengths and predicts them. Thread-safe. At most [maximumHistories] workspace histories are kept, with
 * least-recently-used eviction; the same limit applies to services and to kinds.
 *
 * @param windowSamples lengths per window; the last one to two windows are kept
 * @param minimumSamples lengths that a history needs before it is used
 */
class LengthEstimator(
    private val maximumHistories: Int = 2_048,
    private val windowSamples: Int = 512,
    private val minimumSamples: Int = 12,
) {
    private val workspaces = boundedMap<LengthKey>()
    private val kinds = boundedMap<Pair<ServiceName, String>>()
    private val services = boundedMap<ServiceName>()

    /** The number of workspace histories currently kept. */
    val historyCount: Int get() = synchronized(workspaces) { workspaces.size }

    /** Records that a generation of [key] ended after [tokens] tokens. */
    fun record(
        key: LengthKey,
        tokens: Int,
    ) {
        workspaces.getOrCreate(key).record(tokens)
        kinds.getOrCreate(key.service to key.kind).record(tokens)
        services.getOrCreate(key.service).record(tokens)
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
    fun forecastQuantiles(
        key: LengthKey,
        produced: Int,
    ): List<Int> = FORECAST_QUANTILES.map { quantile(key, produced, it) }

    /** A heavy-tailed prior: half of the outputs that reach [produced] tokens reach twice as many. */
    private fun prior(
        produced: Int,
        q: Double,
    ): Int {
        val base = maxOf(produced, PRIOR_MINIMUM_TOKENS)
        val doublings = -ln(1 - q.coerceIn(0.0, MAXIMUM_PRIOR_QUANTILE)) / ln(2.0)
        return (base * Math.pow(2.0, doublings)).toInt()
    }

    private fun <K : Any> boundedMap() =
        object : LinkedHashMap<K, LengthHistory>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<K, LengthHistory>) = size > maximumHistories
        }

    private fun <K : Any> MutableMap<K, LengthHistory>.getOrCreate(key: K): LengthHistory =
        synchronized(this) { getOrPut(key) { LengthHistory(windowSamples) } }

    private fun <K : Any> MutableMap<K, LengthHistory>.find(key: K): LengthHistory? = synchronized(this) { get(key) }

    private companion object {
        /** The shortest output of the prior in tokens, which applies until enough generations have ended. */
        const val PRIOR_MINIMUM_TOKENS = 512
        val FORECAST_QUANTILES = listOf(0.1, 0.3, 0.5, 0.7, 0.9)
        const val MAXIMUM_PRIOR_QUANTILE = 0.99
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
