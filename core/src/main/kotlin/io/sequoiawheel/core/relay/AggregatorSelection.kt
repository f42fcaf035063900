package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/**
 * Chooses the instance that aggregates the load of this availability zone for the local instance: the first by name
 * that responds. There is no consensus: an instance aggregates for every instance that asks it to, and a second
 * aggregator only costs additional datagrams. Confined to one thread.
 */
internal class AggregatorSelection(
    private val self: Peer,
    private val roster: PeerRoster,
    private val clock: Clock,
) {
    private val startedMillis = clock.nowMillis()
    private val avoidedUntilMillis = HashMap<String, Long>()
    private var selected: Peer? = null
    private var selectedSinceMillis = startedMillis
    private var totalsReceivedMillis: Long? = null
    private var lastRequestMillis: Long? = null

    /** Whether other instances of the zone use this one as their aggregator. */
    val isRequested: Boolean get() = lastRequestMillis?.let { clock.nowMillis() - it <= REQUEST_LIFE_MILLIS } ?: false

    /** Whether the selected aggregator has not sent totals since it was selected. */
    val isUnanswered: Boolean get() = selected != null && totalsReceivedMillis == null

    /** Records that another instance asked this one to aggregate. */
    fun recordRequest() {
        lastRequestMillis = clock.nowMillis()
    }

    /** Records that [sender] sent its totals. */
    fun recordTotals(sender: String) {
        if (sender == selected?.name) totalsReceivedMillis = clock.nowMillis()
    }

    /** Returns the instances to ask, the selected one first; empty if this instance aggregates for itself. */
    fun current(): List<Peer> {
        val now = clock.nowMillis()
        avoidSilent(now)
        avoidedUntilMillis.values.removeIf { it <= now }
        val candidates = roster.all().filter { it.zone == self.zone && it.name !in avoidedUntilMillis }
        // If no request arrived for some time, the others use another aggregator, possibly one unknown to this
        // instance.
        val mayAggregate = isRequested || now - startedMillis < UNREQUESTED_MILLIS
        val preceding = if (mayAggregate) candidates.takeWhile { it.name < self.name } else candidates
        select(preceding.firstOrNull(), now)
        return if (totalsReceivedMillis == null) preceding.take(PROBED_CANDIDATES) else preceding.take(1)
    }

    /**
     * Returns the interval of reports without news. A newly selected aggregator receives them more often, so that one
     * lost datagram does not make it appear failed.
     */
    fun heartbeatMillis(isMesh: Boolean): Long =
        if (!isMesh && current().isNotEmpty() && isUnanswered) UNANSWERED_HEARTBEAT_MILLIS else HEARTBEAT_MILLIS

    private fun select(
        peer: Peer?,
        now: Long,
    ) {
        if (peer == selected) return
        selected = peer
        selectedSinceMillis = now
        totalsReceivedMillis = null
    }

    private fun avoidSilent(now: Long) {
        val silent = selected?.takeIf { now - (totalsReceivedMillis ?: selectedSinceMillis) > SILENT_MILLIS } ?: return
        avoidedUntilMillis[silent.name] = now + AVOIDED_MILLIS
        select(null, now)
    }

    companion object {
        /** An instance that misses several of these counts as terminated. */
        const val HEARTBEAT_MILLIS = 1_000L

        /** Short enough for several requests before an aggregator counts as silent. */
        private const val UNANSWERED_HEARTBEAT_MILLIS = 300L

        /** How long a request counts: three heartbeats of the instances that use this one as their aggregator. */
        private const val REQUEST_LIFE_MILLIS = 3_000L

        /** How long after its start an instance may aggregate without being requested. */
        private const val UNREQUESTED_MILLIS = 4_000L

        /** An aggregator counts as silent after two consecutive lost totals, which are at most 700 ms apart. */
        private const val SILENT_MILLIS = 1_500L

        /** Network outages of an instance usually last several seconds. */
        private const val AVOIDED_MILLIS = 12_000L

        /** Number of candidates asked in parallel until the selected one responds, since it may have terminated. */
        private const val PROBED_CANDIDATES = 2
    }
}
