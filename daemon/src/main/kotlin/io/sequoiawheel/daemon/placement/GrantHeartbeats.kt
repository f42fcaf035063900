package io.sequoiawheel.daemon.placement

import io.sequoiawheel.core.grant.GrantAnswer
import io.sequoiawheel.core.grant.GrantHeartbeat
import io.sequoiawheel.core.grant.GrantView
import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.membership.RendezvousHashing
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Keeps this instance registered with the granting instances of all replicas of its zone, because a ledger grants only
 * the share of its registered members, and of a few replicas of other zones for each service.
 */
internal class GrantHeartbeats(
    private val self: Instance,
    private val membership: MembershipTable,
    private val ledgers: GrantLedgers,
    private val rooms: GrantRooms,
    private val peers: GrantPeers,
    private val clock: Clock,
    private val onAnswers: () -> Unit,
) {
    /** Sends heartbeats until cancelled. */
    suspend fun run() {
        while (true) {
            val replicas = replicas()
            rooms.retain(replicas.map { it.id }.toSet())
            sendHeartbeats(replicas)
            val isSettled = replicas.all { rooms.client(it.id).grantingInstance(clock.nowMillis()) != null }
            delay(if (isSettled) INTERVAL_MILLIS else JOINING_MILLIS)
        }
    }

    private fun replicas(): List<Instance> {
        val all = membership.listed().filter { it.role == Instance.Role.BACKEND }
        val foreign =
            all
                .filter { it.zone != self.zone }
                .groupBy { it.service }
                .values
                .flatMap(::someOf)
        return all.filter { it.zone == self.zone } + foreign
    }

    private fun someOf(replicas: List<Instance>): List<Instance> {
        val chosen = RendezvousHashing.subset(self.id.value, replicas.map { it.id }, FOREIGN_REPLICAS).toSet()
        return replicas.filter { it.id in chosen }
    }

    private suspend fun sendHeartbeats(replicas: List<Instance>) =
        coroutineScope {
            val now = clock.nowMillis()
            val byReceiver = HashMap<InstanceId, MutableMap<InstanceId, GrantHeartbeat>>()
            replicas.forEach { replica ->
                val desired = GrantView.granting(membership, replica.zone, replica.id, now) ?: return@forEach
                val inheritance = ledgers.ledger(replica.id)?.inheritance(now)
                val (receiver, heartbeat) = rooms.client(replica.id).nextHeartbeat(desired, now, inheritance)
                byReceiver.getOrPut(receiver, ::HashMap)[replica.id] = heartbeat
            }
            byReceiver.forEach { (receiver, heartbeats) -> launch { exchange(receiver, heartbeats) } }
        }

    private suspend fun exchange(
        receiver: InstanceId,
        heartbeats: Map<InstanceId, GrantHeartbeat>,
    ) {
        val answers = if (receiver == self.id) answerSelf(heartbeats) else peers.heartbeat(receiver, heartbeats)
        val now = clock.nowMillis()
        answers.forEach { (replica, answer) -> rooms.client(replica).onAnswer(receiver, answer, now) }
        if (answers.isNotEmpty()) onAnswers()
    }

    private fun answerSelf(heartbeats: Map<InstanceId, GrantHeartbeat>): Map<InstanceId, GrantAnswer> =
        buildMap {
            heartbeats.forEach { (replica, heartbeat) ->
                ledgers.ledger(replica)?.let { put(replica, it.heartbeat(heartbeat, clock.nowMillis())) }
            }
        }

    private companion object {
        const val INTERVAL_MILLIS = 1_000L

        // A registration needs two heartbeats; a new instance should not wait seconds for them.
        const val JOINING_MILLIS = 250L
        const val FOREIGN_REPLICAS = 4
    }
}
