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
    private var preferred: Peer? = null
    private var preferredSinceMillis = startedMillis
    private var reportedMillis: Long? = null
    private var requestedMillis: Long? = null

    /** Whether other instances of the zone use this one as their aggregator. */
    val isRequested: Boolean get() = requestedMillis?.let { clock.nowMillis() - it <= REQUESTED_MILLIS } ?: false

    /** Whether the selected aggregator has not sent totals since it was selected. */
    val isUnanswered: Boolean get() = preferred != null && reportedMillis == null

    /** Records that another instance asked this one to aggregate. */
    fun recordRequest() {
        requestedMillis = clock.nowMillis()
    }

    /** Records that [sender] sent its totals. */
    fun recordReport(sender: String) {
        if (sender == preferred?.name) reportedMillis = clock.nowMillis()
    }

    /** Returns the instances to ask, the preferred one first; empty if this instance aggregates for itself. */
    fun current(): List<Peer> {
        val now = clock.nowMillis()
        avoidSilent(now)
        avoidedUntilMillis.values.removeIf { it <= now }
        val candidates = roster.all().filter { it.zone == self.zone && it.name !in avoidedUntilMillis }
        // If no request arrived for some time, the others use another aggregator, possibly one unknown to this
        // instance.
        val mayAggregate = isRequested || now - startedMillis < UNREQUESTED_MILLIS
        val smaller = if (mayAggregate) candidates.takeWhile { it.name < self.name } else candidates
        choose(smaller.firstOrNull(), now)
        return if (reportedMillis == null) smaller.take(PROBED_CANDIDATES) else smaller.take(1)
    }

    private fun choose(
        peer: Peer?,
        now: Long,
    ) {
        if (peer == preferred) return
        preferred = peer
        preferredSinceMillis = now
        reportedMillis = null
    }

    private fun avoidSilent(now: Long) {
        val silent = preferred?.takeIf { now - (reportedMillis ?: preferredSinceMillis) > SILENT_MILLIS } ?: return
        avoidedUntilMillis[silent.name] = now + AVOIDED_MILLIS
        choose(null, now)
    }

    private companion object {
        /** Three report intervals of the instances that use this one as their aggregator. */
        const val REQUESTED_MILLIS = 3_000L

        /** The first instance by name gives up aggregating if no other instance requests it for this long. */
        const val UNREQUESTED_MILLIS = 4_000L

        /** An aggregator counts as silent after two consecutive lost totals. */
        const val SILENT_MILLIS = 1_500L

        /** Network outages of an instance usually last several seconds. */
        const val AVOIDED_MILLIS = 12_000L

        /** Number of candidates asked in parallel until the preferred one responds, since it may have terminated. */
        const val PROBED_CANDIDATES = 2
    }
}
