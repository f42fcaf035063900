package io.sequoiawheel.relay.control

import io.sequoiawheel.core.relay.ClockReading
import io.sequoiawheel.core.relay.ListReliability
import io.sequoiawheel.platform.StoreObject

/**
 * The last change of one object in a response of the store.
 *
 * @property content what the listener keeps of the object, or null if it was deleted or is of no use
 */
internal data class KindChange<out T>(
    val name: String,
    val revision: Long,
    val isDeleted: Boolean,
    val content: T?,
)

/**
 * Receives the state of one kind of store object, and its changes, from a [KindWatcher]. Others choose the number and
 * the size of the objects, so each one is decoded before the next one is read, and only the result is kept.
 */
internal interface KindListener<T : Any> {
    /** Called before the first object of a listing is decoded. */
    fun onListingStarted() = Unit

    /** Returns what is kept of [target], or null if it is of no use. Called once for each object that is read. */
    fun decode(target: StoreObject): T?

    /**
     * Called with what is kept of all objects of the kind. [reliability] says whether entries may be missing or out of
     * date.
     */
    fun onListed(
        listing: StoreListing<T>,
        reliability: ListReliability,
    )

    /** Called for each change. [afterOutage] is true if the store was unavailable until a moment ago. */
    fun onChanged(
        change: KindChange<T>,
        afterOutage: Boolean,
    )

    /** Called when the state reported so far is known to have been the current one at [asOf] or later. */
    fun onConfirmed(asOf: ClockReading) = Unit
}
