package io.sequoiawheel.daemon.http

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.Timer
import io.sequoiawheel.core.model.ResultCode
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * The metrics of the request path, labelled by kind of request, result code and service. The accepted documents bound
 * the number of services. Workspace is not a label: callers choose the names, so its cardinality is unbounded.
 */
internal class DaemonMetrics(
    private val registry: MeterRegistry,
) {
    /** Records a request that ended with [code]. */
    fun record(
        exchange: Exchange,
        code: ResultCode,
        elapsedMillis: Long,
    ) {
        val service = exchange.service?.value ?: NO_SERVICE
        val labels = listOf(Tag.of("kind", exchange.kind.label), Tag.of("code", code.number.toString()))
        counter("sequoiawheel.requests", service, labels).increment()
        timer("sequoiawheel.request", service, exchange).record(elapsedMillis, TimeUnit.MILLISECONDS)
        if (exchange.kind == Exchange.Kind.GENERATION) recordGeneration(exchange, service)
    }

    /** Registers the gauge [name], which reports the result of [currentValue]. */
    fun gauge(
        name: String,
        currentValue: () -> Number,
    ) {
        Gauge.builder(name, currentValue).register(registry)
    }

    /** Increments the counter [name]. */
    fun count(name: String) {
        registry.counter(name).increment()
    }

    private fun recordGeneration(
        exchange: Exchange,
        service: String,
    ) {
        val statistics = exchange.statistics
        counter("sequoiawheel.tokens", service).increment(statistics.tokens.toDouble())
        timer("sequoiawheel.queue", service, exchange).record(statistics.queueMillis, TimeUnit.MILLISECONDS)
        timer("sequoiawheel.stall", service, exchange).record(statistics.stallMillis, TimeUnit.MILLISECONDS)
        statistics.firstTokenMillis?.let {
            timer("sequoiawheel.first.token", service, exchange).record(it, TimeUnit.MILLISECONDS)
        }
    }

    private fun counter(
        name: String,
        service: String,
        labels: List<Tag> = emptyList(),
    ): Counter = registry.counter(name, listOf(Tag.of("service", service)) + labels)

    private fun timer(
        name: String,
        service: String,
        exchange: Exchange,
    ): Timer =
        Timer
            .builder(name)
            .tags("service", service, "kind", exchange.kind.label)
            .publishPercentileHistogram()
            .minimumExpectedValue(SHORTEST_BUCKET)
            .maximumExpectedValue(LONGEST_BUCKET)
            .register(registry)

    private companion object {
        const val NO_SERVICE = "none"

        // The range limits the number of buckets per timer; the latency targets of 61 and 540 ms lie well within it.
        val SHORTEST_BUCKET: Duration = Duration.ofMillis(5)
        val LONGEST_BUCKET: Duration = Duration.ofMinutes(2)
    }
}
