package io.sequoiawheel.standin.instances

import kotlinx.serialization.Serializable

/**
 * @property port port of the HTTP server, or 0
 * @property lagMillis age of the state that a reader sees
 * @property heartbeatTimeoutMillis an instance that has not registered for this long is removed
 */
@Serializable
data class InstanceListSettings(
    val port: Int = 0,
    val lagMillis: Long = 1_000,
    val heartbeatTimeoutMillis: Long = 5_000,
)
