/*
 * Deduplication and ordering of the events of a stream. Several replicas may send events of the same generation in
 * succession, and briefly at the same time; each event is delivered to the caller once, in order.
 */
package io.sequoiawheel.core.relay

/** How to handle an event: deliver it, skip a duplicate, or report a gap in the sequence. */
enum class DeliveryDecision { DELIVER, SKIP, GAP }

/**
 * Tracks the delivery position in one stream. Not thread-safe.
 *
 * @param resumeAfter the id of the event from which the caller resumes, or null if it starts a new stream
 */
class Delivery(
    resumeAfter: Long?,
) {
    /** The id of the last delivered event or the one from which the caller resumed; null before the first. */
    var lastId: Long? = resumeAfter
        private set

    /** Number of events delivered. */
    var delivered = 0
        private set

    /** Decides how to handle the event with [id]; events without an id are always delivered. */
    fun decide(id: Long?): DeliveryDecision {
        val last = lastId
        if (id == null) return DeliveryDecision.DELIVER.also { delivered++ }
        if (last != null && id <= last) return DeliveryDecision.SKIP
        if (last != null && id > last + 1) return DeliveryDecision.GAP
        lastId = id
        delivered++
        return DeliveryDecision.DELIVER
    }
}
