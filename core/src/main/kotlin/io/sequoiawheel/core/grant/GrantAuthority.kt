/*
 * Decides which part of a replica's capacity a ledger may grant. A ledger with which all members are registered knows
 * all reservations. One without all members cannot tell dead members from unreachable ones; it waits until their
 * credits have expired and then grants only the share of its registered members.
 */
package io.sequoiawheel.core.grant

/** The authority of one ledger. Not thread-safe; the ledger guards it. */
internal class GrantAuthority(
    private val settings: GrantSettings,
) {
    private var settlingSinceMillis: Long? = null

    /** Since when the ledger may grant, or null if it may not. */
    var sinceMillis: Long? = null
        private set

    /** The share of the capacity that may be granted, from 0 to 1. */
    var fraction = 0.0
        private set

    /** Takes the number of [registered] members of [view]; the host must be one of them. */
    fun update(
        view: GrantView,
        registered: Int,
        isHostRegistered: Boolean,
        nowMillis: Long,
    ) {
        val total = view.members.size
        val mayServe = view.isResponsible && isHostRegistered
        val isEntitled = mayServe && (view.isFresh || registered * 2 > total)
        if (!isEntitled) return lose()
        val isComplete = view.isFresh && registered == total
        val settling = settlingSinceMillis ?: nowMillis.also { settlingSinceMillis = it }
        val hasSettled = nowMillis - settling >= settings.settleMillis
        if (sinceMillis == null && (isComplete || hasSettled)) sinceMillis = nowMillis
        fraction = if (sinceMillis == null) 0.0 else registered.toDouble() / total
    }

    private fun lose() {
        settlingSinceMillis = null
        sinceMillis = null
        fraction = 0.0
    }
}
