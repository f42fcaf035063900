package io.sequoiawheel.standin.instances

import kotlinx.serialization.Serializable

/**
 * @property port port of the HTTP server, or 0 for any free port
 * @property lagMillis age of the state that reads return
 * @property heartbeatTimeoutMillis time without a renewal after which an instance is removed
 */
@Serializable
data class InstanceListSettings(
    val port: Int = 0,
    val lagMillis: Long = 1_000,
    val heartbeatTimeoutMillis: Long = 5_000,
)
