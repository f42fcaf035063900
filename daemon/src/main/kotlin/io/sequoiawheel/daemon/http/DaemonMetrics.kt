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
 * The metrics of the request path. Labels are the kind of request, the result code and the service; services are
 * bounded by the accepted documents. Workspaces are no label, because callers choose their names.
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

    /** Shows the current value of [read] as the gauge [name]. */
    fun gauge(
        name: String,
        read: () -> Number,
    ) {
        Gauge.builder(name, read).register(registry)
    }

    /** Counts one event named [name]. */
    fun count(name: String) {
        registry.counter(name).increment()
    }

    private fun recordGeneration(
        exchange: Exchange,
        service: String,
    ) {
        val record = exchange.record
        counter("sequoiawheel.tokens", service).increment(record.tokens.toDouble())
        timer("sequoiawheel.queue", service, exchange).record(record.queueMillis, TimeUnit.MILLISECONDS)
        timer("sequoiawheel.stall", service, exchange).record(record.stallMillis, TimeUnit.MILLISECONDS)
        record.firstTokenMillis?.let {
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
            .minimumExpectedValue(SHORTEST)
            .maximumExpectedValue(LONGEST)
            .register(registry)

    private companion object {
        const val NO_SERVICE = "none"

        // The bounds keep the number of buckets of each timer low; the targets of 61 and 540 ms lie well within.
        val SHORTEST: Duration = Duration.ofMillis(5)
        val LONGEST: Duration = Duration.ofMinutes(2)
    }
}
