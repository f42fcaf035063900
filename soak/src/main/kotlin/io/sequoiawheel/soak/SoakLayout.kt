/*
 * Deployments that a soak runs: how many instances and replicas there are, in which zones, and how long streams take.
 */
package io.sequoiawheel.soak

import io.sequoiawheel.standin.platform.PlatformEntries
import io.sequoiawheel.standin.platform.ReplicaConduct
import io.sequoiawheel.standin.platform.StreamPace

/**
 * @property movesRuns whether replicas copy runs to each other and keep backups of them
 * @property conduct what replicas do without a fault
 */
data class SoakLayout(
    val instances: Int,
    val callReplicas: Int,
    val engines: Int,
    val zones: List<String> = listOf(PlatformEntries.ZONE),
    val pace: StreamPace = StreamPace(),
    val movesRuns: Boolean = false,
    val conduct: ReplicaConduct = ReplicaConduct(),
) {
    /** Returns the zone of the instance or replica with the given index. */
    fun zone(index: Int): String = zones[index % zones.size]

    companion object {
        /** Few instances in one zone, with short streams that stay at their replicas. */
        fun plain(
            instances: Int,
            replicas: Int,
        ) = SoakLayout(instances, replicas, replicas)

        /** A layout with streams of about 1 to 3 s that move. */
        fun moving(
            instances: Int,
            callReplicas: Int,
            engines: Int,
        ) = SoakLayout(
            instances,
            callReplicas,
            engines,
            zones = listOf("z0", "z1", "z2"),
            pace = StreamPace(events = 60, eventMillis = 17L..50L),
            movesRuns = true,
            conduct = ReplicaConduct(failurePercent = 5),
        )

        /** The layouts by their names. */
        val SITES: Map<String, SoakLayout> =
            mapOf(
                "basket-desk" to moving(instances = 7, callReplicas = 3, engines = 8),
                "manjadi-ho" to moving(instances = 6, callReplicas = 3, engines = 6),
            )
    }
}
