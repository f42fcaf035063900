package io.sequoiawheel.standin.instances

import kotlinx.serialization.Serializable

/** Sets the lag of the instance list to [lagMillis]. */
@Serializable
data class InstanceListFaults(
    val lagMillis: Long,
)
