/*
 * Deduplication and ordering of the events of a stream. Several replicas may send events of the same generation in
 * succession, and briefly at the same time; each event is delivered to the caller once, in order.
 */
package io.sequoiawheel.core.relay

/** How to handle an event: deliver it, skip a duplicate, or report a gap in the sequence or an invalid event. */
enum class DeliveryDecision { DELIVER, SKIP, GAP, INVALID }

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

    /** Whether a new run can go on after what was delivered: nothing was, or the last event has an id. */
    val canBeResumed: Boolean get() = delivered == 0 || lastId != null

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

/**
 * Decides which events of one replica's stream are delivered. The stream that starts the response is delivered with all
 * its events. In a stream that continues the response, events without an id have no place until a numbered event has
 * shown where the stream continues, so they are skipped until then. Not thread-safe.
 *
 * @param continuesAfter the id of the event after which the replica was asked to continue, or null if it starts the
 * response
 */
class ReplicaStream(
    private val delivery: Delivery,
    private val continuesAfter: Long?,
) {
    /** The id of the last numbered event of this stream, or of the event that it was to continue after. */
    private var lastId = continuesAfter
    private var isPlaced = continuesAfter == null
    private var hasSkippedUnplaced = false

    /** Decides how to handle [event], which is the next one of this stream. */
    fun decide(event: StreamEvent): DeliveryDecision =
        when {
            !event.isWellFormed -> DeliveryDecision.INVALID
            event.id != null -> decideNumbered(event.id)
            event.hasId && lastId != null -> DeliveryDecision.INVALID
            isPlaced -> delivery.decide(null)
            else -> DeliveryDecision.SKIP.also { hasSkippedUnplaced = true }
        }

    /**
     * Whether the end of this stream can be the end of the response: it has reached the last event that was delivered,
     * and all that it sent has a place. A replica that ends its stream properly before the last event of the run cannot
     * be detected.
     */
    val isAtEnd: Boolean
        get() {
            if (continuesAfter == null) return true
            val delivered = delivery.lastId ?: 0
            return (lastId ?: 0) >= delivered && (isPlaced || !hasSkippedUnplaced)
        }

    private fun decideNumbered(id: Long): DeliveryDecision {
        val expected = (delivery.lastId ?: continuesAfter)?.plus(1)
        if (expected != null && id > expected) return DeliveryDecision.GAP
        lastId = id
        return delivery.decide(id).also { if (it == DeliveryDecision.DELIVER) isPlaced = true }
    }
}
