package io.sequoiawheel.standin.plain

import kotlinx.serialization.Serializable

/**
 * @property calls the calls by name
 * @property maximumConcurrent calls that a warm server handles at once; it refuses more
 * @property coldConcurrent calls that a cold server handles at once
 * @property coldMillis how long a server stays cold after its start
 * @property reportLagMillis age up to which a load report is served again
 */
@Serializable
data class PlainServiceSettings(
    val calls: Map<String, Call>,
    val maximumConcurrent: Int = 64,
    val coldConcurrent: Int = 4,
    val coldMillis: Long = 5_000,
    val reportLagMillis: Long = 200,
) {
    /** How long a call runs: [durationMillis] plus up to [jitterMillis]. */
    @Serializable
    data class Call(
        val durationMillis: Long = 20,
        val jitterMillis: Long = 0,
    )
}
