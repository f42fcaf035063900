package io.sequoiawheel.standin.plain

import kotlinx.serialization.Serializable

/**
 * @property calls the supported calls by name
 * @property maximumConcurrent maximum number of concurrent calls of a warm server; further calls are refused
 * @property coldConcurrent maximum number of concurrent calls of a cold server
 * @property coldMillis how long a server is cold after its start
 * @property reportLagMillis maximum age of a load report before it is recomputed
 */
@Serializable
data class PlainServiceSettings(
    val calls: Map<String, Call>,
    val maximumConcurrent: Int = 64,
    val coldConcurrent: Int = 4,
    val coldMillis: Long = 5_000,
    val reportLagMillis: Long = 200,
) {
    /** Duration of a call: [durationMillis] plus a random time of up to [jitterMillis]. */
    @Serializable
    data class Call(
        val durationMillis: Long = 20,
        val jitterMillis: Long = 0,
    )
}
