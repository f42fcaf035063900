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
 * Keeps the membership view up to date. The watchers of a zone poll the instance list and relay it; other instances
 * poll only while nothing confirms their view, as at startup.
 */
internal class MembershipController(
    private val instanceList: InstanceList,
    private val table: MembershipTable,
    private val tree: ZoneTree,
    private val self: InstanceId,
    private val clock: Clock,
    private val backoff: FullJitterBackoff,
) {
    private val latestUpdate = AtomicReference<MembershipUpdate>()
    private var sequence = 0L

    /** Relays an update to other instances; must be set before [run]. */
    var relay: suspend (MembershipUpdate) -> Unit = {}

    /** The last update that was received, or null. */
    val latest: MembershipUpdate? get() = latestUpdate.get()

    /** Polls while needed, until cancelled. */
    suspend fun run() {
        while (true) {
            val pauseMillis = if (shouldPoll()) poll() else INTERVAL_MILLIS
            table.prune(clock.nowMillis())
            delay(pauseMillis)
        }
    }

    /** Reads the instance list once; returns whether the read succeeded. */
    suspend fun pollOnce(): Boolean {
        val instances = instanceList.read().getOrNull() ?: return false
        if (latest?.takeIf { it.watcher == self }?.instances != instances) sequence++
        applyUpdate(MembershipUpdate(self, sequence, instances))
        return true
    }

    /** Applies an update from the platform or a peer, and relays it if it is new. */
    suspend fun applyUpdate(update: MembershipUpdate) {
        val isNew = table.apply(update, clock.nowMillis())
        latestUpdate.set(update)
        if (isNew) relay(update)
    }

    private fun shouldPoll(): Boolean {
        val ageMillis = table.viewAgeMillis(clock.nowMillis())
        return tree.isWatcher || ageMillis == null || ageMillis > MAXIMUM_UNCONFIRMED_MILLIS
    }

    private suspend fun poll(): Long {
        if (!pollOnce()) return maxOf(backoff.nextDelayMillis(), MINIMUM_PAUSE_MILLIS)
        backoff.reset()
        return INTERVAL_MILLIS
    }

    private companion object {
        const val INTERVAL_MILLIS = 1_000L
        const val MINIMUM_PAUSE_MILLIS = 50L

        // By then, five comparisons with the tree parent have failed.
        const val MAXIMUM_UNCONFIRMED_MILLIS = 10_000L
    }
}
