package io.sequoiawheel.relay.control

import io.sequoiawheel.platform.EncodedEvent
import io.sequoiawheel.platform.StoreEvent

/**
 * The changes in a response that is being received: the last one of each object, in the order of their arrival. They
 * are applied once the response is complete.
 *
 * @param decode returns what is kept of an object that was not deleted
 * @param encode returns the change in the form in which it is passed to other instances, or null if it is not
 */
internal class PendingChanges<T : Any>(
    private val decode: (StoreEvent) -> T?,
    private val encode: (StoreEvent) -> EncodedEvent?,
) {
    private class Pending<T>(
        val change: KindChange<T>,
        val encoded: EncodedEvent?,
    )

    private val pending = LinkedHashMap<String, Pending<T>>()

    /** Whether the response changes more objects than are kept here, so that they have to be listed instead. */
    var isOverflown = false
        private set

    val changes: List<KindChange<T>> get() = pending.values.map { it.change }

    val encoded: List<EncodedEvent> get() = pending.values.mapNotNull { it.encoded }

    fun add(event: StoreEvent) {
        val target = event.target
        pending.remove(target.name)
        if (pending.size >= MAXIMUM) isOverflown = true
        if (isOverflown) return pending.clear()
        val content = if (event.isDeleted) null else decode(event)
        val change = KindChange(target.name, target.revision, event.isDeleted, content)
        pending[target.name] = Pending(change, encode(event))
    }

    private companion object {
        /** Several times the replicas and instances of the largest deployment. */
        const val MAXIMUM = 4_096
    }
}
