package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/**
 * The request rate that one incarnation of a replica accepts from all instances together, as named in its responses.
 * Confined to one thread.
 */
class NamedRequestLimit(
    private val clock: Clock,
) {
    private var namedAtMillis = 0L

    /** Requests per second, or null if the replica names no limit. */
    var perSecond: Double? = null
        private set

    /** Records that a response named the limit [newPerSecond]. */
    fun name(newPerSecond: Double) {
        perSecond = newPerSecond
        namedAtMillis = clock.nowMillis()
    }

    /**
     * Records that a response named no limit, which ends the limit unless the request was sent, at [sentAtMillis],
     * before the limit was last named: responses on different connections may overtake each other.
     */
    fun omit(sentAtMillis: Long) {
        if (sentAtMillis >= namedAtMillis) perSecond = null
    }
}
