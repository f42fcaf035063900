package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ZoneName
import java.util.TreeMap

/**
 * The known addresses of other instances, from the platform's store and from received messages. Confined to one thread.
 */
internal class PeerRoster(
    private val clock: Clock,
) {
    private class Entry(
        val peer: Peer,
        val lastContactMillis: Long,
    )

    private val entries = TreeMap<String, Entry>()
    private var meshRounds = 0L

    val size: Int get() = entries.size

    /** Adds an address from the store; if it is new, this counts as contact. */
    fun add(peer: Peer) {
        entries.putIfAbsent(peer.name, Entry(peer, clock.nowMillis()))
    }

    /** Records contact with [peer]. */
    fun recordContact(peer: Peer) {
        entries[peer.name] = Entry(peer, clock.nowMillis())
    }

    fun remove(name: String) {
        entries.remove(name)
    }

    operator fun get(name: String): Peer? = entries[name]?.peer

    /** Returns all peers with contact in the last two minutes, ordered by name. */
    fun all(): List<Peer> {
        val now = clock.nowMillis()
        entries.values.removeIf { now - it.lastContactMillis > FORGET_MILLIS }
        return entries.values.map { it.peer }
    }

    /** Returns the peers with contact in the last [millis] milliseconds. */
    fun activeWithin(millis: Long): List<Peer> =
        entries.values.filter { clock.nowMillis() - it.lastContactMillis <= millis }.map { it.peer }

    /**
     * Returns the recipients of a report in a full mesh: instances that are silent receive only some reports, unless
     * prompt parts are in quarantine, of which instances that were cut off must learn before they serve again.
     */
    fun meshRecipients(hasQuarantine: Boolean): List<Peer> {
        val silentRounds = if (hasQuarantine) 1L else SILENT_ROUNDS
        return if (meshRounds++ % silentRounds == 0L) all() else activeWithin(SILENT_MILLIS)
    }

    /**
     * Returns the recipients of the sums of [ownZone]: per other zone the instance that [senderOfSums] returns, or its
     * instances in turn until one sends.
     */
    fun recipientsOfSums(
        ownZone: ZoneName,
        senderOfSums: (ZoneName) -> String?,
    ): List<Peer> {
        val turn = clock.nowMillis() / ZONE_PROBE_MILLIS
        return all().filter { it.zone != ownZone }.groupBy { it.zone }.map { (zone, peers) ->
            senderOfSums(zone)?.let { this[it] } ?: peers[(turn % peers.size).toInt()]
        }
    }

    companion object {
        /** After this time without a report, an address receives only occasional reports. */
        private const val SILENT_MILLIS = 6_000L

        /** One in this many reports is also sent to silent addresses. */
        private const val SILENT_ROUNDS = 20L

        /** How long one instance of a zone with unknown sums receives this zone's sums before the next one is tried. */
        private const val ZONE_PROBE_MILLIS = 800L

        /** An address that is silent this long belongs to a machine that no longer exists. */
        const val FORGET_MILLIS = 120_000L
    }
}
