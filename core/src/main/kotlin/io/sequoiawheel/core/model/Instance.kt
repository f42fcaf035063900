package io.sequoiawheel.core.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One entry of the platform's instance list.
 *
 * @property service the service that a backend server belongs to; null for entry instances
 * @property address `host:port` of the HTTP interface, where host is an IP address
 * @property peerAddress `host:port` of the gRPC interface between entry instances; null for backend servers
 */
@Serializable
data class Instance(
    val id: InstanceId,
    val role: Role,
    val zone: ZoneName,
    val region: String,
    val address: String,
    val service: ServiceName? = null,
    val peerAddress: String? = null,
    val state: State = State.LIVE,
) {
    /** The kind of process that runs on the instance. */
    @Serializable
    enum class Role {
        @SerialName("entry")
        ENTRY,

        @SerialName("backend")
        BACKEND,
    }

    /** Whether the instance may receive new work. */
    @Serializable
    enum class State {
        @SerialName("live")
        LIVE,

        @SerialName("leaving")
        LEAVING,
    }
}
