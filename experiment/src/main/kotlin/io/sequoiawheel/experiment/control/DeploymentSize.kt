package io.sequoiawheel.experiment.control

/** The size of a deployment, from which control costs are computed. */
internal data class DeploymentSize(
    val daemons: Int,
    val replicas: Int,
    val zones: Int,
    val requestsPerSecond: Double,
    val concurrentStreams: Double,
    val workspaces: Int,
    val services: Int,
    val changesPerDay: Double,
) {
    val daemonsPerZone: Double get() = daemons.toDouble() / zones
    val replicasPerZone: Double get() = replicas.toDouble() / zones
    val requestsPerDaemon: Double get() = requestsPerSecond / daemons
    val replicasPerDaemon: Double get() = replicas.toDouble() / daemons
    val streamsPerReplica: Double get() = concurrentStreams / replicas

    companion object {
        /** The size of deployments today. */
        val TODAY = DeploymentSize(6, 11, 3, 10.0, 160.0, 10, 2, 10.0)

        /** The design size: 1.2 million tokens per second at 61 ms per token are 73,200 open streams. */
        val DESIGN = DeploymentSize(340, 600, 5, 2_400.0, 73_200.0, 4_200, 13, 830.0)
    }
}
