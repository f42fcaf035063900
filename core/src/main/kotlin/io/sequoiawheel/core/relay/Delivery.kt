/*
 * Which events of a stream the caller gets. Several replicas may send events of the same run after one another, and for
 * a moment at the same time; each event is delivered once, in order.
 */
package io.sequoiawheel.core.relay

/** What to do with an event. */
enum class DeliveryDecision { DELIVER, SKIP, GAP }

/** The position in one stream. Not thread-safe. */
class Delivery(
    firstAfter: Long?,
) {
    /** The id of the last delivered event, or that at which the caller resumed, or null before the first. */
    var lastId: Long? = firstAfter
        private set

    /** Number of events delivered. */
    var delivered = 0
        private set

    /** Decides on the event with [id]; events without an id are delivered as they come. */
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
