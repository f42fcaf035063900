package io.sequoiawheel.experiment.configuration

import io.sequoiawheel.core.membership.RelayTree
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.commons.rng.UniformRandomProvider

/**
 * Simulates the links between entry instances. Some messages are lost, and some are delivered a second time much later,
 * as if from a peer that was paused.
 */
internal class ConfigurationNetwork(
    private val random: UniformRandomProvider,
    private val scope: CoroutineScope,
) {
    private val nodes = LinkedHashMap<InstanceId, ConfigurationNode>()
    private val trees = HashMap<ZoneName, RelayTree>()

    /** Zones without a connection to any other zone. */
    val isolatedZones = mutableSetOf<ZoneName>()

    val all: Collection<ConfigurationNode> get() = nodes.values.toList()

    fun add(node: ConfigurationNode) {
        nodes[node.id] = node
        trees.remove(node.zone)
    }

    fun remove(node: ConfigurationNode) {
        nodes.remove(node.id)
        trees.remove(node.zone)
    }

    fun nodesIn(zone: ZoneName): List<ConfigurationNode> = nodes.values.filter { it.zone == zone }

    fun tree(zone: ZoneName): RelayTree = trees.getOrPut(zone) { RelayTree(zone.value, nodesIn(zone).map { it.id }) }

    fun node(id: InstanceId?): ConfigurationNode? = id?.let { nodes[it] }

    /** Returns the watchers of all zones except [zone], rotated by a random offset. */
    fun otherZoneWatchers(zone: ZoneName): List<InstanceId> {
        val watchers =
            nodes.values
                .map { it.zone }
                .distinct()
                .minus(zone)
                .flatMap { tree(it).watchers }
        if (watchers.isEmpty()) return watchers
        val first = random.nextInt(watchers.size)
        return watchers.drop(first) + watchers.take(first)
    }

    /** Delivers a message to [to] or drops it; some messages are delivered again after a long delay. */
    fun send(
        from: ConfigurationNode,
        to: ConfigurationNode,
        deliver: (ConfigurationNode) -> Unit,
    ) {
        val draw = random.nextDouble()
        if (draw < LOSS_PROBABILITY) return
        scope.launch {
            delay(linkDelayMillis(from, to))
            if (isConnected(from, to)) deliver(to)
            if (draw < LOSS_PROBABILITY + DUPLICATE_PROBABILITY) {
                delay(DUPLICATE_DELAY_MILLIS + random.nextLong(DUPLICATE_DELAY_MILLIS))
                if (isConnected(from, to)) deliver(to)
            }
        }
    }

    /** Returns the answer of [to], or null if it cannot be reached or a message is lost. */
    suspend fun <T> query(
        from: ConfigurationNode,
        to: ConfigurationNode,
        request: (ConfigurationNode) -> T,
    ): T? {
        delay(2 * linkDelayMillis(from, to))
        return if (isConnected(from, to) && random.nextDouble() >= LOSS_PROBABILITY) request(to) else null
    }

    private fun isConnected(
        from: ConfigurationNode,
        to: ConfigurationNode,
    ): Boolean {
        if (to.id !in nodes || to.isPaused) return false
        return from.zone == to.zone || (from.zone !in isolatedZones && to.zone !in isolatedZones)
    }

    private fun linkDelayMillis(
        from: ConfigurationNode,
        to: ConfigurationNode,
    ): Long = 1 + random.nextLong(if (from.zone == to.zone) 2 else 4)

    private companion object {
        const val LOSS_PROBABILITY = 0.02
        const val DUPLICATE_PROBABILITY = 0.03
        const val DUPLICATE_DELAY_MILLIS = 5_000L
    }
}
