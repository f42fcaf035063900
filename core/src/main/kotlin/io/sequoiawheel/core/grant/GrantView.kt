package io.sequoiawheel.core.grant

import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.membership.RendezvousHashing
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName

/**
 * The membership that a ledger bases its decisions on.
 *
 * @property isResponsible whether the hosting instance is the granting instance of the replica in its own view
 * @property members entry instances of the replica's zone that may hold capacity: listed, leaving, or recently removed
 * @property isFresh whether the platform confirmed the instance list less than [FRESH_MILLIS] ago
 */
data class GrantView(
    val isResponsible: Boolean,
    val members: Set<InstanceId>,
    val isFresh: Boolean,
) {
    companion object {
        /**
         * Age up to which a confirmed list counts as fresh; together with the list's own lag it is below the hold
         * period.
         */
        const val FRESH_MILLIS = 5_000L

        /** Returns the granting instance of [replica] in [zone] according to [table], or null if it has no list. */
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
         * Returns the view of [self] for [replica]. An instance that never received a list is not responsible for any
         * replica, because it would consider itself the only member.
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
