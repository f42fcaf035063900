/*
 * Notices of generations that have just started. In a large fleet the totals arrive 200 to 300 ms after a start, so
 * that several instances send their next generations to the engine that looked least loaded, where each delays the
 * first event of the others by the time to read its prompt. The instances of a zone therefore tell each other of every
 * start at once. A notice counts until the totals include it.
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

    private val own = ArrayDeque<Start>()
    private val received = HashMap<String, Start>()
    private val bucket = TokenBucket(clock)

    /**
     * Records the start of [work], which the reports of this instance from [sequence] on include, and returns the
     * notice of it to [recipients], or null if the limit on the bytes that this instance sends is reached.
     *
     * @param included the last report of this instance that the totals include
     */
    fun create(
        recipients: List<Peer>,
        work: WorkByReplica,
        sequence: Long,
        included: Long,
    ): OutgoingMessage? {
        own += Start(sequence, work, clock.nowMillis())
        own.removeIf { it.sequence <= included || isExpired(it) }
        if (!bucket.tryTake(BYTES_PER_SECOND / (recipients.size * NOTICE_BYTES), BURST_NOTICES)) return null
        val notice =
            PeerReport(
                self.name,
                startMillis,
                sequence = 0,
                self.endpoint.toString(),
                work = emptyMap(),
                zone = self.zone.value,
                starts = own.map { it.work }.sumByReplica(),
                startsSequence = sequence,
            )
        return OutgoingMessage(recipients.map { it.endpoint }, notice)
    }

    /** Stores the notice in [report]. A reordered older one is ignored. */
    fun receive(report: PeerReport) {
        val known = received[report.sender]
        if (known != null && !isExpired(known) && known.sequence > report.startsSequence) return
        received[report.sender] = Start(report.startsSequence, report.starts, clock.nowMillis())
    }

    /** Returns the starts of other instances that are not included in their reports with the sequences [included]. */
    fun notIncluded(included: Map<String, Long>): List<WorkByReplica> {
        received.values.removeIf(::isExpired)
        return received.filter { (sender, start) -> start.sequence > (included[sender] ?: 0) }.map { it.value.work }
    }

    private fun isExpired(start: Start) = clock.nowMillis() - start.atMillis > LIFE_MILLIS

    companion object {
        /** Larger zones would exceed the bytes below; there the totals alone are used. */
        const val MAXIMUM_ZONE_INSTANCES = 32

        /** The totals include a start by then unless a message was lost. */
        private const val LIFE_MILLIS = 600L

        /** Two thirds of what an instance may send for control. */
        private const val BYTES_PER_SECOND = 2_000.0
        private const val NOTICE_BYTES = 170
        private const val BURST_NOTICES = 8.0
    }
}
