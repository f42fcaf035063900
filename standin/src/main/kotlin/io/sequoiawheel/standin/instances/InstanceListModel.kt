package io.sequoiawheel.standin.instances

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The platform's instance list without I/O. Reads return the state of [InstanceListSettings.lagMillis] ago. All times
 * are milliseconds of one monotonic clock. This class is thread-safe.
 */
class InstanceListModel(
    private val settings: InstanceListSettings,
) {
    private val lock = ReentrantLock()
    private val pending = ArrayDeque<Change>()
    private val visible = LinkedHashMap<InstanceId, Instance>()
    private val registered = HashMap<InstanceId, Registration>()
    private var lagMillis = settings.lagMillis

    /** Registers [instance], renews its registration, or updates its state. */
    fun register(
        instance: Instance,
        nowMillis: Long,
    ) = lock.withLock {
        val previous = registered.put(instance.id, Registration(instance, nowMillis))
        if (previous?.instance != instance) pending += Change(nowMillis, instance.id, instance)
    }

    /** Removes the instance with this [id]; an unknown id is ignored. */
    fun remove(
        id: InstanceId,
        nowMillis: Long,
    ): Unit =
        lock.withLock {
            if (registered.remove(id) != null) pending += Change(nowMillis, id, null)
        }

    /** Returns the list delayed by the configured lag. */
    fun read(nowMillis: Long): ImmutableList<Instance> =
        lock.withLock {
            expire(nowMillis)
            while (pending.isNotEmpty() &&
                pending.first().atMillis + lagMillis <= nowMillis
            ) {
                apply(pending.removeFirst())
            }
            visible.values.toImmutableList()
        }

    /** Applies [faults]. */
    fun applyFaults(faults: InstanceListFaults) = lock.withLock { lagMillis = faults.lagMillis }

    private fun expire(nowMillis: Long) {
        val expired = registered.filterValues { it.renewedAtMillis + settings.heartbeatTimeoutMillis < nowMillis }
        expired.keys.forEach { id ->
            registered.remove(id)
            pending += Change(nowMillis, id, null)
        }
    }

    private fun apply(change: Change) {
        if (change.instance == null) visible.remove(change.id) else visible[change.id] = change.instance
    }

    private data class Registration(
        val instance: Instance,
        val renewedAtMillis: Long,
    )

    private data class Change(
        val atMillis: Long,
        val id: InstanceId,
        val instance: Instance?,
    )
}
