/*
 * Rendezvous hashing: every instance computes the same order for a key from the same list, and losing one instance
 * moves only the keys that were assigned to it.
 */
package io.sequoiawheel.core.membership

import io.sequoiawheel.core.model.InstanceId
import org.apache.commons.codec.digest.MurmurHash3

/** Orders instances for a key by the hash of key and instance. */
object RendezvousHashing {
    /** Returns [instances] with the highest weight for [key] first. */
    fun order(
        key: String,
        instances: Collection<InstanceId>,
    ): List<InstanceId> = instances.distinct().sortedWith(comparator(key))

    /** Returns the first of [order], or null if [instances] is empty. */
    fun first(
        key: String,
        instances: Collection<InstanceId>,
    ): InstanceId? = instances.minWithOrNull(comparator(key))

    /** Returns the first [count] of [order]. Adding or removing one instance changes at most one member of it. */
    fun subset(
        key: String,
        instances: Collection<InstanceId>,
        count: Int,
    ): List<InstanceId> = order(key, instances).take(count)

    private fun comparator(key: String): Comparator<InstanceId> {
        val weights = HashMap<InstanceId, Long>()
        return compareByDescending<InstanceId> { weights.getOrPut(it) { weight(key, it) } }.thenBy { it.value }
    }

    // The length prefix makes ("a", "bc") and ("ab", "c") different inputs.
    private fun weight(
        key: String,
        instance: InstanceId,
    ): Long = MurmurHash3.hash128x64("${key.length}:$key${instance.value}".encodeToByteArray())[0]
}
