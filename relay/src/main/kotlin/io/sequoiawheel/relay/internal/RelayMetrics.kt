package io.sequoiawheel.relay.internal

import io.micrometer.core.instrument.Tags
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Counters and latency histograms of the relay. Labels have few distinct values: kinds of request, outcomes and
 * reasons.
 */
internal class RelayMetrics {
    private val registry by lazy { PrometheusMeterRegistry(PrometheusConfig.DEFAULT) }
    private val timers = HashMap<Pair<String, String>, Timer>()

    /** Records the latency of a finished request. */
    fun recordRequest(
        kind: String,
        outcome: String,
        millis: Long,
    ) {
        val timer =
            timers.getOrPut(kind to outcome) {
                Timer
                    .builder("sequoiawheel.requests")
                    .tag("kind", kind)
                    .tag("outcome", outcome)
                    .publishPercentileHistogram(false)
                    .serviceLevelObjectives(*LATENCY_BUCKETS)
                    .register(registry)
            }
        timer.record(millis, TimeUnit.MILLISECONDS)
    }

    /** Adds [amount] to the counter [name]. */
    fun count(
        name: String,
        reason: String,
        amount: Double = 1.0,
    ) = registry.counter("sequoiawheel.$name", "reason", reason).increment(amount)

    /** Registers a gauge whose [value] is read at each scrape, one of several of the name if it has a [reason]. */
    fun gauge(
        name: String,
        reason: String? = null,
        value: () -> Number,
    ) {
        val tags = if (reason == null) Tags.empty() else Tags.of("reason", reason)
        registry.gauge("sequoiawheel.$name", tags, this) { value().toDouble() }
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    private companion object {
        val LATENCY_BUCKETS =
            longArrayOf(20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 40_000)
                .map { Duration.ofMillis(it) }
                .toTypedArray()
    }
}
