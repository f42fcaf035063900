/*
 * The startup settings of an instance: its listen addresses, the address of the platform's store, and the bounds set by
 * the operators. Times are in milliseconds unless a name says otherwise.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.ZoneName
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf

/** Host and port of one listener or peer. */
data class Endpoint(
    val host: String,
    val port: Int,
) {
    /** Whether the host is an IPv4 address. Resolving a name would block the event loop. */
    val isAddress: Boolean get() = ADDRESS.matches(host)

    /** Whether connections and datagrams can be sent here; port 0 only lets a listener bind any free port. */
    val isReachable: Boolean get() = isAddress && port > 0

    override fun toString(): String = "$host:$port"

    companion object {
        /** Parses [text] as `host:port`; returns null if it has no valid port. */
        fun parseOrNull(text: String): Endpoint? {
            val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in PORTS } ?: return null
            return Endpoint(text.substringBeforeLast(':'), port)
        }

        private val ADDRESS = Regex("""(25[0-5]|2[0-4]\d|1?\d?\d)(\.(25[0-5]|2[0-4]\d|1?\d?\d)){3}""")
        private val PORTS = 0..65_535
    }
}

/**
 * The settings of one instance.
 *
 * @property callers where the instance accepts the requests of callers
 * @property readiness where the instance answers readiness probes
 * @property peerPorts ports available for communication between instances, the same on all machines
 * @property features what the deployment asks of the instances beyond the basic service
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
    val features: ImmutableSet<DeploymentFeature> = persistentSetOf(),
    val limits: ProcessLimits = ProcessLimits(),
)

/** Parts of the service that take effect only in the deployments that ask for them. */
enum class DeploymentFeature {
    /** Operators order roll-outs of new versions of a service. */
    ROLLOUTS,

    /** Callers compete for less engine capacity than they need. */
    SCARCE_CAPACITY,
}

/**
 * What the machine grants the process.
 *
 * @property memoryBytes memory above which the process is ended; null if not stated
 * @property maximumDescriptors limit on open descriptors; null if not stated
 */
data class ProcessLimits(
    val memoryBytes: Long? = null,
    val maximumDescriptors: Int? = null,
)

/**
 * The bounds that the operators set for the instances.
 *
 * @property contactMillis how long an instance must be reachable before the bounds apply to it again
 * @property drainMillis time after which a leaving replica receives no more requests
 * @property graceSeconds time from SIGTERM to SIGKILL
 * @property revokeMillis time after which a revoked API key is refused
 * @property retryRatio retries allowed per request of a service, in a window of [retryWindowMillis]
 * @property retryExtra retries allowed in addition to the ratio, across all instances
 * @property coldExcess factor by which the rate limit of a cold replica may be exceeded in one second
 * @property coldMargin additional requests by which it may be exceeded, across all instances
 * @property rollout bounds on roll-outs, or null in a deployment without them
 * @property configurationMillis time after which a new configuration is in force
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
    val rollout: RolloutBounds? = null,
    val configurationMillis: Long = drainMillis,
)

/**
 * Bounds on the requests that a new version of a service receives before it is known to be good.
 *
 * @property canaryShare share of the requests of the service, from 0 to 1
 * @property canaryMargin additional requests, across all instances
 * @property rollbackMillis time after which a version known to be bad receives no more requests
 */
data class RolloutBounds(
    val canaryShare: Double,
    val canaryMargin: Int,
    val rollbackMillis: Long,
)
