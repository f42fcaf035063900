package io.sequoiawheel.experiment.configuration

import io.sequoiawheel.core.membership.RelayTree
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.commons.rng.UniformRandomProvider

/**
 * The links between entry instances. Messages get lost, and old ones arrive again much later, as from a peer that
 * was paused.
 */
internal class ConfigurationNetwork(
    private val random: UniformRandomProvider,
    private val scope: CoroutineScope,
) {
    private val nodes = LinkedHashMap<InstanceId, ConfigurationNode>()
    private val trees = HashMap<ZoneName, RelayTree>()

    /** Zones that reach no other zone. */
    val isolated = mutableSetOf<ZoneName>()

    val all: Collection<ConfigurationNode> get() = nodes.values.toList()

    fun add(node: ConfigurationNode) {
        nodes[node.id] = node
        trees.remove(node.zone)
    }

    fun remove(node: ConfigurationNode) {
        nodes.remove(node.id)
        trees.remove(node.zone)
    }

    fun nodesOf(zone: ZoneName): List<ConfigurationNode> = nodes.values.filter { it.zone == zone }

    fun tree(zone: ZoneName): RelayTree = trees.getOrPut(zone) { RelayTree(zone.value, nodesOf(zone).map { it.id }) }

    fun node(id: InstanceId?): ConfigurationNode? = id?.let { nodes[it] }

    /** Returns the watchers of the zones other than [zone], from a random one on. */
    fun foreignWatchers(zone: ZoneName): List<InstanceId> {
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

    /** Delivers a relay to [to], or loses it; some are delivered once more after a long time. */
    fun send(
        from: ConfigurationNode,
        to: ConfigurationNode,
        deliver: (ConfigurationNode) -> Unit,
    ) {
        val draw = random.nextDouble()
        if (draw < LOSS) return
        scope.launch {
            delay(linkMillis(from, to))
            if (connected(from, to)) deliver(to)
            if (draw < LOSS + REPETITION) {
                delay(REPEATED_AFTER_MILLIS + random.nextLong(REPEATED_AFTER_MILLIS))
                if (connected(from, to)) deliver(to)
            }
        }
    }

    /** Returns the answer of [to], or null if it cannot be reached. */
    suspend fun <T> ask(
        from: ConfigurationNode,
        to: ConfigurationNode,
        question: (ConfigurationNode) -> T,
    ): T? {
        delay(2 * linkMillis(from, to))
        return if (connected(from, to) && random.nextDouble() >= LOSS) question(to) else null
    }

    private fun connected(
        from: ConfigurationNode,
        to: ConfigurationNode,
    ): Boolean {
        if (to.id !in nodes || to.isPaused) return false
        return from.zone == to.zone || (from.zone !in isolated && to.zone !in isolated)
    }

    private fun linkMillis(
        from: ConfigurationNode,
        to: ConfigurationNode,
    ): Long = 1 + random.nextLong(if (from.zone == to.zone) 2 else 4)

    private companion object {
        const val LOSS = 0.02
        const val REPETITION = 0.03
        const val REPEATED_AFTER_MILLIS = 5_000L
    }
}
