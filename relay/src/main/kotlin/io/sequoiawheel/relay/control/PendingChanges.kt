package io.sequoiawheel.relay.control

import io.sequoiawheel.platform.EncodedEvent
import io.sequoiawheel.platform.StoreEvent
import java.io.IOException

/** The response to a watch has more changes than are held, or repeats objects so often that a listing is smaller. */
internal class TooManyChangesException(
    message: String,
) : IOException(message)

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

    private var repeatedBytes = 0L

    val changes: List<KindChange<T>> get() = pending.values.map { it.change }

    val encoded: List<EncodedEvent> get() = pending.values.mapNotNull { it.encoded }

    /** Adds [event], or throws [TooManyChangesException] if the objects are to be listed instead. */
    fun add(event: StoreEvent) {
        val target = event.target
        val isRepeated = pending.remove(target.name) != null
        if (isRepeated) repeatedBytes += target.sizeBytes
        if (repeatedBytes > MAXIMUM_REPEATED_BYTES) {
            throw TooManyChangesException("more than $MAXIMUM_REPEATED_BYTES bytes of repeated changes")
        }
        if (pending.size >= MAXIMUM) throw TooManyChangesException("more than $MAXIMUM changed objects")
        val content = if (event.isDeleted) null else decode(event)
        val change = KindChange(target.name, target.revision, event.isDeleted, content)
        pending[target.name] = Pending(change, encode(event))
    }

    private companion object {
        /** Several times the replicas and instances of the largest deployment. */
        const val MAXIMUM = 4_096

        /** Two versions of an object of the store's maximum size. */
        const val MAXIMUM_REPEATED_BYTES = 2_097_152L
    }
}
