/*
 * Notices of generations that have just started. In a large fleet the totals arrive 200 to 300 ms after a start, so
 * that several instances send their next generations to the engine that looked least loaded, where each delays the
 * first event of the others by the time to read its prompt. The instances of a zone therefore tell each other of their
 * starts at once, within a limit on bytes. A notice counts until the totals include it.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/** The starts of this instance and of the others of its zone that the totals do not include. Confined to one thread. */
internal class StartNotices(
    private val self: Peer,
    private val startMillis: Long,
    private val clock: Clock,
) {
    private class Start(
        val sequence: Long,
        val work: WorkByReplica,
        val atMillis: Long,
    )

    private val own = ArrayList<WorkByReplica>()
    private var ownSequence = 0L
    private val received = HashMap<String, List<Start>>()
    private val bucket = TokenBucket(clock)
    private var limitedMillis: Long? = null

    /** Whether starts of the last second were not announced at once, because of the limit on bytes. */
    val isLimited: Boolean get() = limitedMillis?.let { clock.nowMillis() - it <= LIMITED_MILLIS } ?: false

    /**
     * Records the start of [work], which the next report of this instance, with [sequence], includes, and returns the
     * notice of all such starts to [recipients], or null if the limit on the bytes that this instance sends is reached.
     */
    fun create(
        recipients: List<Peer>,
        work: WorkByReplica,
        sequence: Long,
    ): OutgoingMessage? {
        if (sequence != ownSequence) own.clear()
        ownSequence = sequence
        own += work
        if (!bucket.tryTake(BYTES_PER_SECOND / (recipients.size * NOTICE_BYTES), BURST_NOTICES)) {
            limitedMillis = clock.nowMillis()
            return null
        }
        val notice =
            PeerReport(
                self.name,
                startMillis,
                sequence = 0,
                self.endpoint.toString(),
                work = emptyMap(),
                zone = self.zone.value,
                starts = own.sumByReplica(),
                startsSequence = sequence,
            )
        return OutgoingMessage(recipients.map { it.endpoint }, notice)
    }

    /** Stores the notice in [report] in place of an earlier one about the same report of its sender. */
    fun receive(report: PeerReport) {
        val known = received[report.sender].orEmpty().filterNot(::isExpired)
        val same = known.find { it.sequence == report.startsSequence }
        if (same != null && same.work.running() > report.starts.running()) return
        val start = Start(report.startsSequence, report.starts, clock.nowMillis())
        received[report.sender] = known.filterNot { it.sequence == report.startsSequence } + start
    }

    /** Returns the starts of other instances that are not included in their reports with the sequences [included]. */
    fun notIncluded(included: Map<String, Long>): List<WorkByReplica> {
        received.entries.removeIf { (_, starts) -> starts.all(::isExpired) }
        return received.flatMap { (sender, starts) ->
            starts.filter { it.sequence > (included[sender] ?: 0) && !isExpired(it) }.map { it.work }
        }
    }

    private fun WorkByReplica.running() = values.sumOf { it.running }

    private fun isExpired(start: Start) = clock.nowMillis() - start.atMillis > LIFE_MILLIS

    companion object {
        /** Larger zones would exceed the bytes below; there the totals alone are used. */
        const val MAXIMUM_ZONE_INSTANCES = 32

        /** The totals include a start by then unless a message was lost. */
        private const val LIFE_MILLIS = 600L

        /** A start that was not announced at once is in the totals by then. */
        private const val LIMITED_MILLIS = 1_000L

        /** Two thirds of what an instance may send for control. */
        private const val BYTES_PER_SECOND = 2_000.0
        private const val NOTICE_BYTES = 170
        private const val BURST_NOTICES = 8.0
    }
}
