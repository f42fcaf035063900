package io.sequoiawheel.daemon.control

import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.membership.MembershipUpdate
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.platform.InstanceList
import io.sequoiawheel.objectapi.FullJitterBackoff
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicReference

/**
 * Keeps the membership view. The watchers of a zone poll the instance list and relay it; every other instance polls
 * only while nothing has confirmed its view, as at its start.
 */
internal class MembershipController(
    private val list: InstanceList,
    private val table: MembershipTable,
    private val tree: ZoneTree,
    private val self: InstanceId,
    private val clock: Clock,
    private val backoff: FullJitterBackoff,
) {
    private val newest = AtomicReference<MembershipUpdate>()
    private var sequence = 0L

    /** Relays an update to other instances; set before [run]. */
    var relay: suspend (MembershipUpdate) -> Unit = {}

    /** The last update that was applied, or null. */
    val latest: MembershipUpdate? get() = newest.get()

    /** Polls until cancelled. */
    suspend fun run() {
        while (true) {
            val pause = if (isDue()) poll() else INTERVAL_MILLIS
            table.prune(clock.nowMillis())
            delay(pause)
        }
    }

    /** Reads the list once; returns whether it answered. */
    suspend fun pollOnce(): Boolean {
        val instances = list.read().getOrNull() ?: return false
        if (latest?.takeIf { it.watcher == self }?.instances != instances) sequence++
        take(MembershipUpdate(self, sequence, instances))
        return true
    }

    /** Applies an update from anywhere and relays it if it is new. */
    suspend fun take(update: MembershipUpdate) {
        val isNew = table.apply(update, clock.nowMillis())
        newest.set(update)
        if (isNew) relay(update)
    }

    private fun isDue(): Boolean {
        val age = table.viewAgeMillis(clock.nowMillis())
        return tree.isWatcher || age == null || age > UNCONFIRMED_MILLIS
    }

    private suspend fun poll(): Long {
        if (!pollOnce()) return maxOf(backoff.nextDelayMillis(), MINIMUM_PAUSE_MILLIS)
        backoff.reset()
        return INTERVAL_MILLIS
    }

    private companion object {
        const val INTERVAL_MILLIS = 1_000L
        const val MINIMUM_PAUSE_MILLIS = 50L

        // Five comparisons with the tree parent have failed by then.
        const val UNCONFIRMED_MILLIS = 10_000L
    }
}
