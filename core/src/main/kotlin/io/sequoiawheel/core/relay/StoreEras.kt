/*
 * The eras of the platform's store. The store may come back from a copy some seconds old, and then counts its revisions
 * from there again; each answer names the era that it belongs to. Revisions compare only inside one era.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/** How the era of an answer compares with what was known. */
enum class EraOrder { CURRENT, NEW, OLDER }

/** Orders the answers of the store by their eras. Confined to one thread. */
class StoreEras(
    private val clock: Clock,
) {
    /** The newest era, or null as long as no answer named one. */
    var current: Long? = null
        private set

    private var seenAtMillis = clock.nowMillis()

    /**
     * Takes the era of an answer, null if it named none that can be read: such an answer counts as one of the current
     * era. A skipped era is a new one. A lower era is that of a late answer, whose content must not be used; once no
     * answer of the current era has come for a while, the store has been set back and the lower era is the new one.
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
        /** Twice the longest life of a call to the store, a watch that waits. */
        const val SET_BACK_MILLIS = 60_000L
    }
}
