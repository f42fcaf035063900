package io.sequoiawheel.core.grant

/**
 * The registration under which capacity was requested, and the time of the request. A grant is invalid if it arrives
 * after the registration has ended or too long after the request, because another ledger may by then grant the same
 * capacity without knowing of it.
 */
data class GrantTicket(
    val registration: Long,
    val requestedMillis: Long,
)
