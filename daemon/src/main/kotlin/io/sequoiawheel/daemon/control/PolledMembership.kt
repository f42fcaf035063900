package io.sequoiawheel.daemon.control

import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.membership.MembershipUpdate
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.platform.InstanceList
import kotlinx.coroutines.delay

/** Feeds the membership table from the platform's instance list. */
internal class PolledMembership(
    private val list: InstanceList,
    private val table: MembershipTable,
    private val self: InstanceId,
    private val clock: Clock,
) {
    private var sequence = 0L

    /** Polls until cancelled. */
    suspend fun run() {
        while (true) {
            list.read().onRight { instances ->
                val now = clock.nowMillis()
                table.apply(MembershipUpdate(self, sequence++, instances), now)
                table.prune(now)
            }
            delay(INTERVAL_MILLIS)
        }
    }

    private companion object {
        const val INTERVAL_MILLIS = 1_000L
    }
}
