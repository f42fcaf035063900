/*
 * Which instance of an availability zone watches the platform's store for the others. Watches cost one call a change
 * and instance, so in each zone one instance, the hub, watches the store, and the others watch the hub. No agreement
 * is needed: two hubs only cost calls, and an instance whose hub fails watches the store itself for a while.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ZoneName
import org.apache.commons.rng.UniformRandomProvider

/**
 * Chooses the hub of one instance. Confined to one thread.
 *
 * @param live the other instances that were heard of or listed lately
 */
class HubSelection(
    private val ownName: String,
    private val ownZone: ZoneName,
    private val clock: Clock,
    private val random: UniformRandomProvider,
    private val live: () -> List<Peer>,
) {
    private var hub: Peer? = null
    private var directUntilMillis = Long.MIN_VALUE
    private val avoidedUntilMillis = HashMap<String, Long>()
    private var askedAtMillis: Long? = null

    /** Whether other instances rely on this one as their hub. */
    val isAsked: Boolean get() = askedAtMillis?.let { clock.nowMillis() - it <= ASKED_MILLIS } ?: false

    /** Records that another instance watches this one. */
    fun asked() {
        askedAtMillis = clock.nowMillis()
    }

    /** Returns the instance to watch, or null if this instance is to watch the store itself. */
    fun current(): Peer? {
        if (clock.nowMillis() < directUntilMillis || isAsked) return null
        avoidedUntilMillis.values.removeIf { it <= clock.nowMillis() }
        val members = live().filter { it.zone == ownZone }
        if (members.size + 1 < MINIMUM_MEMBERS) return null
        val trusted = members.filter { it.name !in avoidedUntilMillis }
        val kept = hub?.takeIf { it in trusted }
        val first = kept ?: trusted.minByOrNull { it.name }?.takeIf { it.name < ownName }
        hub = first
        return first
    }

    /** Watches the store for a while, since [peer] did not serve as hub. Returns false if it was not the hub. */
    fun failed(peer: Peer): Boolean {
        if (peer != hub) return false
        hub = null
        avoidedUntilMillis[peer.name] = clock.nowMillis() + AVOIDED_MILLIS
        directUntilMillis = clock.nowMillis() + DIRECT_MILLIS + (random.nextDouble() * DIRECT_SPREAD_MILLIS).toLong()
        return true
    }

    private companion object {
        /** The smallest zone in which a hub saves calls: half of them with two instances. */
        const val MINIMUM_MEMBERS = 2

        /** Each instance asks its hub for the configuration about once a second. */
        const val ASKED_MILLIS = 3_000L

        /** All instances of a zone miss their hub within the second in which each asks it once. */
        const val DIRECT_MILLIS = 1_200L

        /** An instance that lost the store or its network is mostly without it for some seconds more. */
        const val AVOIDED_MILLIS = 12_000L

        /** Spreads the instances of a zone, so that the new hub knows of its role before most of them ask. */
        const val DIRECT_SPREAD_MILLIS = 1_200L
    }
}
