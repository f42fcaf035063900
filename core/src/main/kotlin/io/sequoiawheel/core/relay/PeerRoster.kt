package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import java.util.TreeMap

/** The addresses of other instances, from the platform's store and from what they send. Confined to one thread. */
internal class PeerRoster(
    private val clock: Clock,
) {
    private class Known(
        val peer: Peer,
        val heardMillis: Long,
    )

    private val known = TreeMap<String, Known>()

    val size: Int get() = known.size

    /** Adds an address from the store; it counts as heard of now unless it is known already. */
    fun add(peer: Peer) {
        known.putIfAbsent(peer.name, Known(peer, clock.nowMillis()))
    }

    /** Records that [peer] was heard of. */
    fun heard(peer: Peer) {
        known[peer.name] = Known(peer, clock.nowMillis())
    }

    fun remove(name: String) {
        known.remove(name)
    }

    operator fun get(name: String): Peer? = known[name]?.peer

    /** Returns all peers of which something was heard within the last two minutes, by name. */
    fun all(): List<Peer> {
        val now = clock.nowMillis()
        known.values.removeIf { now - it.heardMillis > FORGET_MILLIS }
        return known.values.map { it.peer }
    }

    /** Returns the peers that were heard of within [millis]. */
    fun heardWithin(millis: Long): List<Peer> =
        known.values.filter { clock.nowMillis() - it.heardMillis <= millis }.map { it.peer }

    companion object {
        /** An address that stays silent this long belongs to a machine that is gone. */
        const val FORGET_MILLIS = 120_000L
    }
}
