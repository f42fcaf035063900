package io.sequoiawheel.core.grant

import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.membership.RendezvousHashing
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName

/**
 * The membership as a ledger needs it.
 *
 * @property isResponsible whether the hosting instance is the granting instance of the replica in its own view
 * @property members entry instances of the replica's zone that may hold room: listed, leaving, or just vanished
 * @property isFresh whether the view was confirmed by the platform within the lag that the instance list may have
 */
data class GrantView(
    val isResponsible: Boolean,
    val members: Set<InstanceId>,
    val isFresh: Boolean,
) {
    companion object {
        /** Age up to which a confirmed list counts as fresh; with the list's own lag it stays below the hold period. */
        const val FRESH_MILLIS = 5_000L

        /** Returns the granting instance of [replica] in [zone] as [table] sees it, or null without a list. */
        fun granting(
            table: MembershipTable,
            zone: ZoneName,
            replica: InstanceId,
            nowMillis: Long,
        ): InstanceId? {
            table.viewAgeMillis(nowMillis) ?: return null
            return RendezvousHashing.first(replica.value, table.liveEntries(zone).map { it.id })
        }

        /**
         * Returns the view of [self] for [replica]. An instance that never had a list is not responsible for anything:
         * it would take itself for the only one.
         */
        fun of(
            table: MembershipTable,
            self: InstanceId,
            zone: ZoneName,
            replica: InstanceId,
            nowMillis: Long,
        ): GrantView {
            val age = table.viewAgeMillis(nowMillis)
            return GrantView(
                isResponsible = granting(table, zone, replica, nowMillis) == self,
                members = table.entries(zone, nowMillis),
                isFresh = age != null && age < FRESH_MILLIS,
            )
        }
    }
}
