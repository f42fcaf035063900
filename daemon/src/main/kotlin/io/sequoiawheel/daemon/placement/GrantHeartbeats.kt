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
 * Keeps this instance registered with the granting instances of all replicas of its zone, and of a few replicas in
 * other zones for each service. A ledger grants only the share of the capacity that belongs to its registered members,
 * so every entry instance registers with every ledger of its zone.
 */
internal class GrantHeartbeats(
    private val self: Instance,
    private val membership: MembershipTable,
    private val ledgers: GrantLedgers,
    private val capacitySource: GrantCapacitySource,
    private val rpcClient: GrantRpcClient,
    private val clock: Clock,
    private val onAnswers: () -> Unit,
) {
    /** Sends heartbeats until cancelled, more often while a registration is missing. */
    suspend fun run() {
        while (true) {
            val replicas = replicas()
            capacitySource.retain(replicas.map { it.id }.toSet())
            sendHeartbeats(replicas)
            val isRegisteredWithAll =
                replicas.all { capacitySource.client(it.id).grantingInstance(clock.nowMillis()) != null }
            delay(if (isRegisteredWithAll) INTERVAL_MILLIS else REGISTRATION_INTERVAL_MILLIS)
        }
    }

    private fun replicas(): List<Instance> {
        val backends = membership.listed().filter { it.role == Instance.Role.BACKEND }
        val foreign =
            backends
                .filter { it.zone != self.zone }
                .groupBy { it.service }
                .values
                .flatMap(::subsetOf)
        return backends.filter { it.zone == self.zone } + foreign
    }

    private fun subsetOf(replicas: List<Instance>): List<Instance> {
        val chosen =
            RendezvousHashing
                .subset(
                    self.id.value,
                    replicas.map { it.id },
                    FOREIGN_REPLICAS_PER_SERVICE,
                ).toSet()
        return replicas.filter { it.id in chosen }
    }

    private suspend fun sendHeartbeats(replicas: List<Instance>) =
        coroutineScope {
            val now = clock.nowMillis()
            val heartbeatsByReceiver = HashMap<InstanceId, MutableMap<InstanceId, GrantHeartbeat>>()
            replicas.forEach { replica ->
                val desiredInstance = GrantView.granting(membership, replica.zone, replica.id, now) ?: return@forEach
                val inheritance = ledgers.ledger(replica.id)?.inheritance(now)
                val (receiver, heartbeat) =
                    capacitySource.client(replica.id).nextHeartbeat(desiredInstance, now, inheritance)
                heartbeatsByReceiver.getOrPut(receiver, ::HashMap)[replica.id] = heartbeat
            }
            heartbeatsByReceiver.forEach { (receiver, heartbeats) -> launch { exchange(receiver, heartbeats) } }
        }

    private suspend fun exchange(
        receiver: InstanceId,
        heartbeats: Map<InstanceId, GrantHeartbeat>,
    ) {
        val answers = if (receiver == self.id) answerLocally(heartbeats) else rpcClient.heartbeat(receiver, heartbeats)
        val now = clock.nowMillis()
        answers.forEach { (replica, answer) -> capacitySource.client(replica).onAnswer(receiver, answer, now) }
        if (answers.isNotEmpty()) onAnswers()
    }

    private fun answerLocally(heartbeats: Map<InstanceId, GrantHeartbeat>): Map<InstanceId, GrantAnswer> =
        buildMap {
            heartbeats.forEach { (replica, heartbeat) ->
                ledgers.ledger(replica)?.let { put(replica, it.heartbeat(heartbeat, clock.nowMillis())) }
            }
        }

    private companion object {
        const val INTERVAL_MILLIS = 1_000L

        // A registration takes two heartbeats; at the normal interval, a new instance would wait seconds for it.
        const val REGISTRATION_INTERVAL_MILLIS = 250L
        const val FOREIGN_REPLICAS_PER_SERVICE = 4
    }
}
