package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/**
 * Chooses which instance of the own zone sums up the zone's work for this one: the first by name that answers. Nothing
 * is agreed on; an instance aggregates for those that ask it to, and two aggregators only cost datagrams. Confined to
 * one thread.
 */
internal class AggregatorSelection(
    private val self: Peer,
    private val roster: PeerRoster,
    private val clock: Clock,
) {
    private val startedMillis = clock.nowMillis()
    private val avoidedUntilMillis = HashMap<String, Long>()
    private var first: Peer? = null
    private var firstSinceMillis = startedMillis
    private var heardMillis: Long? = null
    private var askedMillis: Long? = null

    /** Whether other instances of the zone rely on this one. */
    val isAsked: Boolean get() = askedMillis?.let { clock.nowMillis() - it <= ASKED_MILLIS } ?: false

    /** Whether an instance was chosen that has not told its sums since. */
    val isUnanswered: Boolean get() = first != null && heardMillis == null

    /** Records that another instance asked this one to aggregate. */
    fun asked() {
        askedMillis = clock.nowMillis()
    }

    /** Records that [sender] told its sums. */
    fun heard(sender: String) {
        if (sender == first?.name) heardMillis = clock.nowMillis()
    }

    /** Returns the instances to ask, the preferred one first; empty if this instance aggregates for itself. */
    fun current(): List<Peer> {
        val now = clock.nowMillis()
        avoidSilent(now)
        avoidedUntilMillis.values.removeIf { it <= now }
        val candidates = roster.all().filter { it.zone == self.zone && it.name !in avoidedUntilMillis }
        // Without a question for some time the others rely on another instance, which this one may not hear of.
        val mayLead = isAsked || now - startedMillis < UNASKED_MILLIS
        val smaller = if (mayLead) candidates.takeWhile { it.name < self.name } else candidates
        choose(smaller.firstOrNull(), now)
        return if (heardMillis == null) smaller.take(PROBED) else smaller.take(1)
    }

    private fun choose(
        peer: Peer?,
        now: Long,
    ) {
        if (peer == first) return
        first = peer
        firstSinceMillis = now
        heardMillis = null
    }

    private fun avoidSilent(now: Long) {
        val silent = first?.takeIf { now - (heardMillis ?: firstSinceMillis) > SILENT_MILLIS } ?: return
        avoidedUntilMillis[silent.name] = now + AVOIDED_MILLIS
        choose(null, now)
    }

    private companion object {
        /** Three reports of the instances that rely on this one. */
        const val ASKED_MILLIS = 3_000L

        /** An instance that is first by name and stays unasked this long follows the others. */
        const val UNASKED_MILLIS = 4_000L

        /** Two lost reports of an aggregator in a row. */
        const val SILENT_MILLIS = 1_500L

        /** An instance that lost its network is mostly without it for some seconds. */
        const val AVOIDED_MILLIS = 12_000L

        /** Instances that are asked at once until the preferred one answers: it may be gone. */
        const val PROBED = 2
    }
}
