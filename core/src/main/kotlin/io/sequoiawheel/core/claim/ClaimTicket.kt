package io.sequoiawheel.core.claim

/**
 * Permits one dispatch of one non-idempotent call. The owner must call `complete` or `release`; otherwise the claim
 * stays without an outcome and the call is never dispatched again.
 */
class ClaimTicket internal constructor(
    val key: ClaimKey,
    internal val record: ClaimRecord,
) {
    /** Last known version of the claim object. It may be stale; the object API rejects a write with an old version. */
    @Volatile
    internal var version = 0L

    /** Unique for this attempt to claim. */
    val claimId: String get() = record.claimId
}
