package io.sequoiawheel.objectapi

import kotlinx.serialization.Serializable

/**
 * How one daemon reaches the platform.
 *
 * @property objectApi base URL of the object API, such as `http://127.0.0.1:9000`
 * @property instanceList base URL of the instance list
 * @property weightStore base URL of the weight store
 * @property connectTimeoutMillis limit for opening a connection
 * @property requestTimeoutMillis limit for a whole call; a watch has its waiting time in addition
 * @property callsPerSecond sustained calls of this daemon, reads and writes together
 * @property callBurst calls that may be made at once after a quiet period
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
        /** 340 daemons share about 2,000 reads and several hundred writes a second; claims come in bursts. */
        const val DEFAULT_CALLS_PER_SECOND = 20.0

        /** Lets a daemon list every kind and claim a burst of calls right after its start. */
        const val DEFAULT_CALL_BURST = 100
    }
}
