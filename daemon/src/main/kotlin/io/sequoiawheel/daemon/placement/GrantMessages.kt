package io.sequoiawheel.daemon.placement

import io.sequoiawheel.core.grant.Capacity
import io.sequoiawheel.core.grant.GrantAnswer
import io.sequoiawheel.core.grant.GrantHeartbeat
import io.sequoiawheel.core.grant.Reservation
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.WorkspaceName
import io.sequoiawheel.core.routing.ReplicaState
import io.sequoiawheel.peer.generated.GrantReply
import io.sequoiawheel.peer.generated.ReplicaRegistration
import io.sequoiawheel.peer.generated.ReplicaState as StateMessage
import io.sequoiawheel.peer.generated.Reservation as ReservationMessage

/** Converts between the grant protocol types of `core` and the Protocol Buffers messages. */
internal object GrantMessages {
    private const val MICROS_PER_MILLI = 1_000

    fun toMessage(reservation: Reservation): ReservationMessage =
        ReservationMessage
            .newBuilder()
            .setRequestId(reservation.request.value)
            .setWorkspace(reservation.workspace.value)
            .setPromptTokens(reservation.promptTokens.toInt())
            .setPredictedTokens(reservation.predictedTokens.toInt())
            .setProducedTokens(reservation.producedTokens.toInt())
            .build()

    fun fromMessage(message: ReservationMessage) =
        Reservation(
            request = RequestId(message.requestId),
            workspace = WorkspaceName(message.workspace),
            promptTokens = message.promptTokens.toLong(),
            predictedTokens = message.predictedTokens.toLong(),
            producedTokens = message.producedTokens.toLong(),
        )

    fun toMessage(
        replica: InstanceId,
        heartbeat: GrantHeartbeat,
    ): ReplicaRegistration =
        ReplicaRegistration
            .newBuilder()
            .setReplica(replica.value)
            .addAllOutstanding(heartbeat.reservations.map(::toMessage))
            .setSequence(heartbeat.sequence)
            .setEcho(heartbeat.echo)
            .setStartId(heartbeat.startId)
            .setCreditTokens(heartbeat.credit.tokens)
            .setCreditRequests(heartbeat.credit.requests)
            .setComplete(heartbeat.isComplete)
            .addAllFinished(heartbeat.finished.map { it.value })
            .setHasInherited(heartbeat.inherited != null)
            .addAllInherited(heartbeat.inherited.orEmpty().map(::toMessage))
            .setKnownLimit(heartbeat.knownLimit)
            .setLeaving(heartbeat.isLeaving)
            .build()

    fun fromMessage(
        sender: InstanceId,
        message: ReplicaRegistration,
    ) = GrantHeartbeat(
        instance = sender,
        sequence = message.sequence,
        echo = message.echo,
        startId = message.startId,
        credit = Capacity(message.creditTokens, message.creditRequests),
        reservations = message.outstandingList.map(::fromMessage),
        isComplete = message.complete,
        finished = message.finishedList.mapTo(HashSet()) { RequestId(it) },
        inherited = message.inheritedList.map(::fromMessage).takeIf { message.hasInherited },
        knownLimit = message.knownLimit,
        isLeaving = message.leaving,
    )

    fun toMessage(answer: GrantAnswer): GrantReply =
        GrantReply
            .newBuilder()
            .setNonce(answer.nonce)
            .setSequence(answer.sequence)
            .setStartId(answer.startId)
            .setCreditTokens(answer.credit.tokens)
            .setCreditRequests(answer.credit.requests)
            .setLimit(answer.limit)
            .setState(toMessage(answer.state))
            .build()

    fun fromMessage(reply: GrantReply) =
        GrantAnswer(
            nonce = reply.nonce,
            sequence = reply.sequence,
            startId = reply.startId,
            credit = Capacity(reply.creditTokens, reply.creditRequests),
            limit = reply.limit,
            state = fromMessage(reply.state),
        )

    private fun toMessage(state: ReplicaState): StateMessage =
        StateMessage
            .newBuilder()
            .setReplica(state.replica.value)
            .setStartId(state.startId)
            .setCold(state.cold)
            .setLeaving(state.leaving)
            .setReachable(state.reachable)
            .setFreeTokens(state.freeTokens)
            .setFreeRequests(state.freeRequests)
            .setStepMicros((state.stepMillis * MICROS_PER_MILLI).toInt())
            .setAgeMillis(state.ageMillis.toInt())
            .addAllModels(state.models)
            .setPreemptions(state.preemptions)
            .setCapacityTokens(state.capacityTokens)
            .build()

    private fun fromMessage(state: StateMessage) =
        ReplicaState(
            replica = InstanceId(state.replica),
            startId = state.startId,
            cold = state.cold,
            leaving = state.leaving,
            reachable = state.reachable,
            freeTokens = state.freeTokens,
            freeRequests = state.freeRequests,
            stepMillis = state.stepMicros.toDouble() / MICROS_PER_MILLI,
            ageMillis = state.ageMillis.toLong(),
            models = state.modelsList.toList(),
            preemptions = state.preemptions,
            capacityTokens = state.capacityTokens,
        )
}
