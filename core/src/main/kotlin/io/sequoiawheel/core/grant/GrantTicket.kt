package io.sequoiawheel.core.grant

/**
 * Under which registration, and when, room was asked for. A grant is void if it arrives after the registration has
 * ended or too long after it was asked for, because then another ledger may count without it.
 */
data class GrantTicket(
    val registration: Long,
    val askedMillis: Long,
)
