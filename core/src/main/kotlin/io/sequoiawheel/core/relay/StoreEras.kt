/*
 * The eras (epochs) of the platform's store. The store may be restored from a snapshot that is some seconds old, after
 * which it reuses revisions; each response states its era. Revisions are comparable only within one era.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/** How the era of a response compares with the current era. */
enum class EraOrder { CURRENT, NEW, OLDER }

/** Orders the responses of the store by era. Confined to one thread. */
class StoreEras(
    private val clock: Clock,
) {
    /** The newest era, or null until a response states one. */
    var current: Long? = null
        private set

    private var seenAtMillis = clock.nowMillis()

    /**
     * Processes the era of a response. Null, if the response states no readable era, counts as the current era. A
     * higher era is new even if some were skipped. A lower era belongs to a late response, whose content must not be
     * used; if no response of the current era arrived for a while, the store was reset and the lower era is the new
     * one.
     */
    fun observe(era: Long?): EraOrder {
        val known = current
        val order =
            when {
                era == null || era == known -> EraOrder.CURRENT
                known == null -> EraOrder.CURRENT
                era > known -> EraOrder.NEW
                clock.nowMillis() - seenAtMillis > SET_BACK_MILLIS -> EraOrder.NEW
                else -> EraOrder.OLDER
            }
        if (order != EraOrder.OLDER) {
            seenAtMillis = clock.nowMillis()
            current = era ?: known
        }
        return order
    }

    private companion object {
        /** Twice the maximum duration of a call to the store, which is that of a waiting watch. */
        const val SET_BACK_MILLIS = 60_000L
    }
}
