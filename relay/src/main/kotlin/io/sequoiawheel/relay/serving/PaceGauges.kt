package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.relay.internal.RelayMetrics

/** Gauges that compare the estimated pace of the replicas with the observed one. */
internal object PaceGauges {
    /** A replica whose work takes longer than this multiple of the usual time counts as slow. */
    private const val SLOW_FACTOR = 1.5

    /** Registers the gauges for the [replicas] that are known when they are read. */
    fun publish(
        metrics: RelayMetrics,
        replicas: () -> Collection<Replica>,
    ) {
        val paced = { replicas().filter { it.pace.isKnown } }
        metrics.gauge("replicas.paced") { paced().size }
        metrics.gauge("replicas.slow") { paced().count { it.pace.factor() > SLOW_FACTOR } }
        metrics.gauge("replica.factor.estimated") { paced().map { it.pace.usual() }.mean() }
        metrics.gauge("replica.factor.observed") { paced().mapNotNull { it.pace.observed?.factor }.mean() }
    }

    /** Returns the mean, or the usual factor 1 if there are no values. */
    private fun List<Double>.mean() = if (isEmpty()) 1.0 else average()
}
