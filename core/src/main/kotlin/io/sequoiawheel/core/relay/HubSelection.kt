/*
 * Selection of the instance that watches the platform's store on behalf of its availability zone. A watch costs one
 * call per change and instance, so one instance of each zone, the hub, watches the store, and the others watch the hub.
 * No consensus is needed: a second hub only costs calls, and an instance whose hub fails watches the store for a while.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ZoneName
import org.apache.commons.rng.UniformRandomProvider

/**
 * Selects the hub of one instance. Confined to one thread.
 *
 * @param live returns the other instances that were recently contacted or listed
 */
class HubSelection(
    private val ownName: String,
    private val ownZone: ZoneName,
    private val clock: Clock,
    private val random: UniformRandomProvider,
    private val live: () -> List<Peer>,
) {
    private var hub: Peer? = null
    private var fallbackUntilMillis = Long.MIN_VALUE
    private val avoidedUntilMillis = HashMap<String, Long>()
    private var watchedAtMillis: Long? = null

    /** Whether other instances use this one as their hub. */
    val hasWatchers: Boolean get() = watchedAtMillis?.let { clock.nowMillis() - it <= WATCHED_MILLIS } ?: false

    /** Records that another instance watches this one. */
    fun recordWatcher() {
        watchedAtMillis = clock.nowMillis()
    }

    /** Returns the instance to watch, or null if this instance must watch the store itself. */
    fun current(): Peer? {
        if (clock.nowMillis() < fallbackUntilMillis || hasWatchers) return null
        avoidedUntilMillis.values.removeIf { it <= clock.nowMillis() }
        val members = live().filter { it.zone == ownZone }
        if (members.size + 1 < MINIMUM_MEMBERS) return null
        val available = members.filter { it.name !in avoidedUntilMillis }
        val kept = hub?.takeIf { it in available }
        val first = kept ?: available.minByOrNull { it.name }?.takeIf { it.name < ownName }
        hub = first
        return first
    }

    /**
     * Stops using [peer], which failed, as the hub and falls back to the store for a while. Returns false if it is not
     * the hub.
     */
    fun abandon(peer: Peer): Boolean {
        if (peer != hub) return false
        hub = null
        avoidedUntilMillis[peer.name] = clock.nowMillis() + AVOIDED_MILLIS
        fallbackUntilMillis = clock.nowMillis() + FALLBACK_MILLIS + (random.nextDouble() * JITTER_MILLIS).toLong()
        return true
    }

    private companion object {
        /** Smallest zone in which a hub saves calls; with two instances it saves half of them. */
        const val MINIMUM_MEMBERS = 2

        /** How long a watch counts. Each instance requests the configuration from its hub about once per second. */
        const val WATCHED_MILLIS = 3_000L

        /**
         * How long an instance watches the store after its hub failed. All instances of a zone detect the failure
         * within a second, since each polls the hub once per second.
         */
        const val FALLBACK_MILLIS = 1_200L

        /** An instance that lost the store or its network usually stays without it for several seconds. */
        const val AVOIDED_MILLIS = 12_000L

        /**
         * Jitter across the instances of a zone, so that the new hub watches the store before most of them contact it.
         */
        const val JITTER_MILLIS = 1_200L
    }
}
