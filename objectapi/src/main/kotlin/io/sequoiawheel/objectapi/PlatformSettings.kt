package io.sequoiawheel.objectapi

import kotlinx.serialization.Serializable

/**
 * Addresses, timeouts and rate limits for the connection of one daemon to the platform.
 *
 * @property objectApi base URL of the object API, such as `http://127.0.0.1:9000`
 * @property instanceList base URL of the instance list
 * @property weightStore base URL of the weight store
 * @property connectTimeoutMillis timeout for opening a connection
 * @property requestTimeoutMillis timeout for a complete call; the waiting time of a watch is added to it
 * @property callsPerSecond sustained rate of this daemon, for reads and writes combined
 * @property callBurst number of calls that can be made at once after an idle period
 */
@Serializable
data class PlatformSettings(
    val objectApi: String,
    val instanceList: String,
    val weightStore: String,
    val connectTimeoutMillis: Long = 1_000,
    val requestTimeoutMillis: Long = 3_000,
    val callsPerSecond: Double = DEFAULT_CALLS_PER_SECOND,
    val callBurst: Int = DEFAULT_CALL_BURST,
) {
    companion object {
        /** 340 daemons share about 2,000 reads and several hundred writes per second; claims arrive in bursts. */
        const val DEFAULT_CALLS_PER_SECOND = 20.0

        /** Sufficient to list every kind of object and to write a burst of claims immediately after startup. */
        const val DEFAULT_CALL_BURST = 100
    }
}
