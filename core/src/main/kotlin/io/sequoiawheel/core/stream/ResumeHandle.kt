package io.sequoiawheel.core.stream

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Locates a running generation so that its stream can be resumed. It contains the replica's id instead of an address,
 * so that a handle can never direct an entry instance to a host outside the instance list.
 */
@Serializable
data class ResumeHandle(
    @SerialName("s") val service: ServiceName,
    @SerialName("r") val replica: InstanceId,
    @SerialName("g") val generation: RequestId,
    @SerialName("w") val workspace: WorkspaceName,
    @SerialName("q") val requestId: RequestId,
)
