package io.sequoiawheel.standin.instances

import kotlinx.serialization.Serializable

/** Changes the lag of the instance list, in milliseconds. */
@Serializable
data class InstanceListFaults(
    val lagMillis: Long,
)
