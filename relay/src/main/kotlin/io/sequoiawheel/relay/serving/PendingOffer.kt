package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.relay.Delivery
import io.sequoiawheel.relay.filter.Exchange

/** When a generation that has run, and that no replica accepts now, is offered to the replicas again. */
internal class PendingOffer(
    private val clock: Clock,
    private val exchange: Exchange,
    private val delivery: Delivery,
) {
    private var dueMillis: Long? = null
    private var detail = ""

    /**
     * Schedules an offer after [delayMillis], because of [detail]. Returns false if that is null, if the generation
     * cannot go on elsewhere, or if too little of its time would be left.
     */
    fun schedule(
        delayMillis: Long?,
        detail: String,
    ): Boolean {
        val isRepeatable = exchange.route?.isRepeatable == true && delivery.canBeResumed
        if (delayMillis == null || !isRepeatable) return false
        val due = clock.nowMillis() + delayMillis
        if (due + MINIMUM_RUN_MILLIS > exchange.deadlineMillis) return false
        dueMillis = due
        this.detail = detail
        return true
    }

    /** Returns why an offer that is due now was scheduled, or null if none is due. */
    fun takeDue(): String? {
        val due = dueMillis ?: return null
        if (clock.nowMillis() < due) return null
        dueMillis = null
        return detail
    }

    private companion object {
        /** A shorter run delivers little before the deadline. */
        const val MINIMUM_RUN_MILLIS = 500L
    }
}
