/*
 * Determines the share of a replica's capacity that a ledger may grant. A ledger with which all members are registered
 * knows all reservations. If members are missing, it cannot distinguish crashed from unreachable ones; it waits until
 * their credits have expired and then grants only the share of the registered members.
 */
package io.sequoiawheel.core.grant

/** The authority of one ledger to grant capacity. Not thread-safe; the ledger synchronizes access. */
internal class GrantAuthority(
    private val settings: GrantSettings,
) {
    private var settlingSinceMillis: Long? = null

    /** The time at which the ledger became allowed to grant, or null if it may not grant. */
    var sinceMillis: Long? = null
        private set

    /** The share of the capacity that may be granted, from 0 to 1. */
    var fraction = 0.0
        private set

    /** Updates the authority from [view] and its number of [registered] members. The host itself must be registered. */
    fun update(
        view: GrantView,
        registered: Int,
        isHostRegistered: Boolean,
        nowMillis: Long,
    ) {
        val total = view.members.size
        val mayServe = view.isResponsible && isHostRegistered
        val isEntitled = mayServe && (view.isFresh || registered * 2 > total)
        if (!isEntitled) return revoke()
        val isComplete = view.isFresh && registered == total
        val settling = settlingSinceMillis ?: nowMillis.also { settlingSinceMillis = it }
        val hasSettled = nowMillis - settling >= settings.settleMillis
        if (sinceMillis == null && (isComplete || hasSettled)) sinceMillis = nowMillis
        fraction = if (sinceMillis == null) 0.0 else registered.toDouble() / total
    }

    private fun revoke() {
        settlingSinceMillis = null
        sinceMillis = null
        fraction = 0.0
    }
}
