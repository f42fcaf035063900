package io.sequoiawheel.experiment.control

import io.sequoiawheel.peer.generated.CompareRequest
import io.sequoiawheel.peer.generated.CompareResponse
import io.sequoiawheel.peer.generated.Finished
import io.sequoiawheel.peer.generated.FirstToken
import io.sequoiawheel.peer.generated.GrantReply
import io.sequoiawheel.peer.generated.HeartbeatRequest
import io.sequoiawheel.peer.generated.HeartbeatResponse
import io.sequoiawheel.peer.generated.ReleaseRequest
import io.sequoiawheel.peer.generated.ReplicaRegistration
import io.sequoiawheel.peer.generated.ReplicaState
import io.sequoiawheel.peer.generated.Reservation
import io.sequoiawheel.peer.generated.ReserveRequest
import io.sequoiawheel.peer.generated.ReserveResponse
import io.sequoiawheel.peer.generated.ServiceGeneration

/** Serialized sizes in bytes of the messages between entry daemons, with identifiers of realistic length. */
internal object MessageSizes {
    private const val INSTANCE = "entry-zone-a-17-mx8falqc"
    private const val REPLICA = "writers-zone-a-101-r2"
    private const val START_ID = "writers-zone-a-101-1"
    private const val REQUEST = "5e2b5005-b1a4-497c-9be1-a469f0bd7e19"

    /** A reservation request and its response. */
    val reserve: Int
        get() =
            ReserveRequest
                .newBuilder()
                .setInstance(INSTANCE)
                .setZone("zone-a")
                .setReplica(REPLICA)
                .setReservation(
                    Reservation
                        .newBuilder()
                        .setRequestId(REQUEST)
                        .setWorkspace("workspace-1042")
                        .setPromptTokens(900)
                        .setPredictedTokens(1_400),
                ).build()
                .serializedSize +
                ReserveResponse
                    .newBuilder()
                    .setGranted(true)
                    .build()
                    .serializedSize

    /** A release that carries one finished request and its first-token time. */
    val release: Int
        get() =
            ReleaseRequest
                .newBuilder()
                .setInstance(INSTANCE)
                .addFinished(
                    Finished
                        .newBuilder()
                        .setReplica(REPLICA)
                        .setRequestId(REQUEST)
                        .setTokens(1_200),
                ).addFirstTokens(FirstToken.newBuilder().setReplica(REPLICA).setMillis(310))
                .build()
                .serializedSize

    /** The fixed part of a heartbeat and its response, independent of the number of replicas. */
    val heartbeatBase: Int
        get() =
            HeartbeatRequest
                .newBuilder()
                .setInstance(INSTANCE)
                .setZone("zone-a")
                .build()
                .serializedSize + HeartbeatResponse.getDefaultInstance().serializedSize

    /** The part of a heartbeat and its response for each replica. */
    val heartbeatReplica: Int get() = registration().serializedSize + reply().serializedSize

    /** A digest comparison between equal views, with its response. */
    val compare: Int
        get() =
            CompareRequest
                .newBuilder()
                .setSender(INSTANCE)
                .setConfigurationDigest(Long.MAX_VALUE)
                .setMembershipDigest(Long.MAX_VALUE)
                .setSubtreeInstances(5)
                .addAllLowest(
                    List(SERVICE_COUNT) {
                        ServiceGeneration
                            .newBuilder()
                            .setService("service-$it")
                            .setGeneration(1_000)
                            .build()
                    },
                ).build()
                .serializedSize +
                CompareResponse
                    .newBuilder()
                    .setSame(true)
                    .build()
                    .serializedSize

    private fun registration() =
        ReplicaRegistration
            .newBuilder()
            .setReplica(REPLICA)
            .setSequence(100_000)
            .setEcho(100_000)
            .setStartId(START_ID)
            .setKnownLimit(64)
            .build()

    private fun reply() =
        GrantReply
            .newBuilder()
            .setNonce(100_000)
            .setSequence(100_000)
            .setStartId(START_ID)
            .setLimit(64)
            .setState(
                ReplicaState
                    .newBuilder()
                    .setReplica(REPLICA)
                    .setStartId(START_ID)
                    .setReachable(true)
                    .setFreeTokens(100_000)
                    .setFreeRequests(20)
                    .setStepMicros(40_000)
                    .setAgeMillis(300)
                    .addModels("letters")
                    .setCapacityTokens(400_000),
            ).build()

    private const val SERVICE_COUNT = 13
}
