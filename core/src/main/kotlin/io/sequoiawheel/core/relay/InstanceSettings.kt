/*
 * What one entry instance is told at its start: where it listens, where the platform's store is, and the bounds that
 * the operators hold it to. Times are in milliseconds unless a name says otherwise.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.ZoneName

/** Host and port of one listener or peer. */
data class Endpoint(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    companion object {
        /** Returns the endpoint that [text] writes as host and port, or null if it is none. */
        fun parseOrNull(text: String): Endpoint? {
            val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
            return Endpoint(text.substringBeforeLast(':'), port)
        }
    }
}

/**
 * The settings of one entry instance.
 *
 * @property peerPorts ports on which instances may talk to each other, the same on all machines
 */
data class InstanceSettings(
    val name: String,
    val host: String,
    val zone: ZoneName,
    val callers: Endpoint,
    val readiness: Endpoint,
    val peerPorts: IntRange,
    val store: Endpoint,
    val bounds: ServiceBounds,
)

/**
 * The bounds that the operators hold the instances to.
 *
 * @property contactMillis how long an instance must be reachable before the bounds hold for it again
 * @property drainMillis time after which a leaving replica receives nothing more
 * @property graceSeconds time from SIGTERM to SIGKILL
 * @property revokeMillis time after which a revoked key is refused
 * @property retryRatio repeats allowed for each request of a service, in a window of [retryWindowMillis]
 * @property retryExtra repeats allowed beside the ratio, over all instances
 * @property coldExcess factor by which the rate of a cold replica may be exceeded in one second
 * @property coldMargin requests by which it may be exceeded beside that, over all instances
 */
data class ServiceBounds(
    val contactMillis: Long,
    val drainMillis: Long,
    val graceSeconds: Double,
    val revokeMillis: Long,
    val retryRatio: Double,
    val retryExtra: Int,
    val retryWindowMillis: Long,
    val coldExcess: Double,
    val coldMargin: Double,
)
