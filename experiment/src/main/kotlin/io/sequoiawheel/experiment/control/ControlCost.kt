/*
 * Computes the control costs of one daemon at a given size from measured slopes, message sizes and the daemon's
 * intervals. Bytes are serialized sizes, sent and received.
 */
package io.sequoiawheel.experiment.control

internal class ControlCost(
    private val slopes: ControlSlopes,
    private val size: DeploymentSize,
) {
    /**
     * Returns the costs of the system's own design: every instance registers with the granting instance of every
     * replica in its zone, and configuration is relayed over a tree.
     */
    fun own(): Map<String, Double> {
        val heartbeats = size.replicasPerZone / HEARTBEAT_INTERVAL_SECONDS
        val peers = minOf(size.daemonsPerZone - 1, size.replicasPerZone) / HEARTBEAT_INTERVAL_SECONDS
        val outstanding = size.streamsPerReplica
        val heartbeatBytes =
            2 * (heartbeats * MessageSizes.heartbeatReplica + peers * MessageSizes.heartbeatBase)
        val requestBytes = 2 * size.requestsPerDaemon * (MessageSizes.reserve + MessageSizes.release)
        val compareBytes = (1 + TREE_FAN_OUT) * MessageSizes.compare / COMPARE_INTERVAL_SECONDS
        val cpuMicros =
            size.requestsPerDaemon * (slopes.reserveCpu.at(outstanding) + slopes.queueCpu.at(BACKLOGGED_WORKSPACES)) +
                heartbeats * slopes.heartbeatCpu.at(outstanding)
        return figures(heartbeatBytes + requestBytes + compareBytes + relayBytes(TREE_FAN_OUT), cpuMicros) +
            mapOf(
                "heartbeatBytesPerSecond" to heartbeatBytes,
                "reservationBytesPerSecond" to requestBytes,
                "comparisonBytesPerSecond" to compareBytes,
                "relayBytesPerSecond" to relayBytes(TREE_FAN_OUT),
                "platformWatches" to size.zones * WATCHERS_PER_ZONE,
                "platformCallsPerSecond" to
                    size.zones * WATCHERS_PER_ZONE / LIST_INTERVAL_SECONDS + size.daemons / REGISTER_INTERVAL_SECONDS,
            )
    }

    /**
     * Returns the costs of the baseline: each daemon polls every replica, sends its load to every other daemon and
     * watches the platform.
     */
    fun allToAll(): Map<String, Double> {
        val others = size.daemons - 1.0
        val exchange = 2 * others * size.replicas * LOAD_BYTES_PER_REPLICA / HEARTBEAT_INTERVAL_SECONDS
        val cpuMicros = others * slopes.heartbeatCpu.at(size.streamsPerReplica) / HEARTBEAT_INTERVAL_SECONDS
        return figures(exchange + relayBytes(1.0), cpuMicros) +
            mapOf(
                "heartbeatBytesPerSecond" to exchange,
                "relayBytesPerSecond" to relayBytes(1.0),
                "platformWatches" to size.daemons.toDouble(),
                "platformCallsPerSecond" to
                    size.daemons / LIST_INTERVAL_SECONDS + size.daemons / REGISTER_INTERVAL_SECONDS,
            )
    }

    private fun figures(
        bytes: Double,
        cpuMicros: Double,
    ): Map<String, Double> =
        mapOf(
            "controlBytesPerSecond" to bytes,
            "controlCorePercentCpu" to cpuMicros / MICROS_PER_PERCENT,
            "controlHeapMegabytes" to heapBytes() / BYTES_PER_MEGABYTE,
        )

    private fun heapBytes(): Double =
        slopes.membershipHeap.at((size.daemons + size.replicas).toDouble()) +
            size.services * slopes.configurationHeap.at(size.workspaces.toDouble() / size.services) +
            slopes.lengthHeap.at(minOf(size.workspaces, MAXIMUM_HISTORIES).toDouble())

    private fun relayBytes(copies: Double): Double {
        val document = slopes.documentText.at(size.workspaces.toDouble() / size.services)
        return size.changesPerDay * document * (1 + copies) / SECONDS_PER_DAY
    }

    private companion object {
        const val HEARTBEAT_INTERVAL_SECONDS = 1.0
        const val COMPARE_INTERVAL_SECONDS = 2.0
        const val LIST_INTERVAL_SECONDS = 1.0
        const val REGISTER_INTERVAL_SECONDS = 2.0
        const val TREE_FAN_OUT = 4.0
        const val WATCHERS_PER_ZONE = 2.0
        const val MAXIMUM_HISTORIES = 2_048
        const val BACKLOGGED_WORKSPACES = 10.0
        const val LOAD_BYTES_PER_REPLICA = 24.0
        const val MICROS_PER_PERCENT = 10_000.0
        const val BYTES_PER_MEGABYTE = 1_000_000.0
        const val SECONDS_PER_DAY = 86_400.0
    }
}
