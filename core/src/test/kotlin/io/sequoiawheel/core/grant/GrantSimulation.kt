/*
 * Simulates a zone in virtual time: several entry instances and one replica, with stale instance lists, lost and
 * delayed messages, crashes, unreachable instances and platform outages. It tracks the requests that actually run at
 * the replica.
 */
package io.sequoiawheel.core.grant

import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.membership.MembershipUpdate
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.WorkspaceName
import io.sequoiawheel.core.model.ZoneName
import kotlinx.collections.immutable.toImmutableList
import org.apache.commons.rng.simple.RandomSource
import java.util.PriorityQueue

internal class GrantSimulation(
    seed: Long,
    private val newPolicy: (GrantSimulation, InstanceId) -> GrantPolicy,
) {
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val zone = ZoneName("a")
    private val nodes = LinkedHashMap<InstanceId, Node>()
    private val platform = LinkedHashMap<InstanceId, Instance>()
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.order }))
    private val running = HashMap<RequestId, Reservation>()
    private val samples = ArrayDeque<LoadReport>()
    private var started = 0
    private var requests = 0
    private var order = 0L
    private var now = 0L
    private var platformDownUntil = 0L

    var peakTokens = 0L
        private set
    var dispatched = 0
        private set

    private class Event(
        val atMillis: Long,
        val order: Long,
        val action: (Long) -> Unit,
    )

    private class Node(
        val instance: Instance,
        val policy: GrantPolicy,
        val lagMillis: Long,
    ) {
        val table = MembershipTable(instance)
        var sequence = 0L
        var isolatedUntil = 0L
        var listLostUntil = 0L
    }

    fun policyOf(instance: InstanceId): GrantPolicy = nodes.getValue(instance).policy

    fun memberCount(view: GrantView): Int = view.members.size

    /** Delivers [action] with a short delay, rarely with a long one, or not at all. */
    fun send(
        from: InstanceId,
        to: InstanceId,
        action: (Long) -> Unit,
    ) {
        val delay =
            when {
                from == to -> 0L
                random.nextInt(200) == 0 -> 1_000 + random.nextLong(9_000)
                else -> 1 + random.nextLong(20)
            }
        val isLost = isIsolated(from) || isIsolated(to) || random.nextInt(200) == 0
        if (from != to && isLost) return
        at(now + delay) { if (to in nodes) action(it) }
    }

    fun run(durationMillis: Long) {
        repeat(5) { start() }
        while (now < durationMillis) {
            now += TICK_MILLIS
            while (events.isNotEmpty() && events.peek().atMillis <= now) events.poll().let { it.action(now) }
            injectFault()
            samples.addLast(sample())
            if (samples.size > REPORT_LAG_TICKS) samples.removeFirst()
            nodes.values.toList().forEach { act(it) }
        }
    }

    private fun act(node: Node) {
        if (now % 500 == 0L) refreshList(node)
        val granting = GrantView.granting(node.table, zone, REPLICA, now) ?: return
        val view = GrantView.of(node.table, node.instance.id, zone, REPLICA, now)
        if (view.isResponsible && now % 500 == 0L) {
            node.policy.report(samples.first().copy(ageMillis = (samples.size - 1) * TICK_MILLIS), now)
        }
        node.policy.tick(view, granting, now)
        if (random.nextInt(4) == 0) request(node)
    }

    private fun request(node: Node) {
        val id = RequestId("${node.instance.id}-${requests++}")
        val reservation = Reservation(id, WorkspaceName("w"), 100, 100 + random.nextLong(1_900))
        val dispatch = { at: Long -> dispatch(node, reservation, at) }
        if (node.policy.admitLocally(reservation, now)) dispatch(now) else node.policy.ask(reservation, now, dispatch)
    }

    private fun dispatch(
        node: Node,
        reservation: Reservation,
        atMillis: Long,
    ) {
        running[reservation.request] = reservation
        dispatched++
        val total = running.values.sumOf { it.capacity.tokens }
        peakTokens = maxOf(peakTokens, total)
        val isLong = random.nextInt(10) == 0
        at(atMillis + 200 + random.nextLong(if (isLong) 60_000 else 4_000)) {
            running -= reservation.request
            if (node.instance.id in nodes) node.policy.finished(reservation, it)
        }
    }

    private fun injectFault() {
        if (now < WARM_UP_MILLIS) return
        val node = nodes.values.elementAt(random.nextInt(nodes.size))
        when (random.nextInt(2_000)) {
            0, 1 -> if (nodes.size < 8) start()
            2 -> if (nodes.size > 2) crash(node.instance.id)
            3, 4 -> node.isolatedUntil = now + random.nextLong(20_000)
            5 -> platformDownUntil = now + random.nextLong(60_000)
            6, 7 -> node.listLostUntil = now + random.nextLong(40_000)
            8 -> platform.computeIfPresent(node.instance.id) { _, old -> old.copy(state = Instance.State.LEAVING) }
        }
    }

    private fun start() {
        val id = InstanceId("i${started++}")
        val instance = Instance(id, Instance.Role.ENTRY, zone, "r", "127.0.0.1:1")
        platform[id] = instance
        nodes[id] = Node(instance, newPolicy(this, id), random.nextLong(4_000))
    }

    // The engine runs the generations of a crashed instance to their end.
    private fun crash(id: InstanceId) {
        nodes -= id
        at(now + random.nextLong(3_000)) { platform -= id }
    }

    private fun refreshList(node: Node) {
        if (now < platformDownUntil || now < node.listLostUntil) return
        val list = platform.values.toImmutableList()
        val update = MembershipUpdate(InstanceId("watcher"), ++node.sequence, list)
        at(now + node.lagMillis) { node.table.apply(update, it) }
    }

    private fun isIsolated(id: InstanceId): Boolean = nodes[id]?.let { now < it.isolatedUntil } ?: true

    private fun sample() =
        LoadReport(
            startId = "s",
            memoryTokens = running.values.sumOf { it.promptTokens },
            memoryCapacityTokens = CAPACITY,
            running = running.size,
            maximumConcurrent = 1_000,
        )

    private fun at(
        atMillis: Long,
        action: (Long) -> Unit,
    ) {
        events += Event(atMillis, order++, action)
    }

    companion object {
        const val CAPACITY = 20_000L
        val REPLICA = InstanceId("replica")
        const val TICK_MILLIS = 50L
        private const val REPORT_LAG_TICKS = 7
        private const val WARM_UP_MILLIS = 30_000L
    }
}
