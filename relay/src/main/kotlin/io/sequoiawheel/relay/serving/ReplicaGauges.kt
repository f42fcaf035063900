package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.relay.ReplicaDirectory
import io.sequoiawheel.relay.internal.RelayMetrics

/** Gauges of what the instance knows of the replicas, such as their estimated and observed pace. */
internal object ReplicaGauges {
    /** A replica whose work takes longer than this multiple of the usual time counts as slow. */
    private const val SLOW_FACTOR = 1.5

    /** Registers the gauges for the replicas that are in [directory] when they are read. */
    fun publish(
        metrics: RelayMetrics,
        directory: ReplicaDirectory,
    ) {
        metrics.gauge("replicas.quiet") { directory.all().count { it.isPaused } }
        metrics.gauge("replicas.limited") { directory.all().count { it.requestLimit.perSecond != null } }
        metrics.gauge("replicas.leaving.by.answer") { directory.announcedLeaving().size }
        metrics.gauge("replicas.unread.request.bytes") { directory.all().sumOf { it.unreadRequests.bytes } }
        metrics.gauge("replicas.not.reading") { directory.all().count { it.unreadRequests.isStalled } }
        val paced = { directory.all().filter { it.pace.isKnown } }
        metrics.gauge("replicas.paced") { paced().size }
        metrics.gauge("replicas.slow") { paced().count { it.pace.factor() > SLOW_FACTOR } }
        metrics.gauge("replica.factor.estimated") { paced().map { it.pace.usual() }.mean() }
        metrics.gauge("replica.factor.observed") { paced().mapNotNull { it.pace.observed?.factor }.mean() }
    }

    /** Returns the mean, or the usual factor 1 if there are no values. */
    private fun List<Double>.mean() = if (isEmpty()) 1.0 else average()
}
