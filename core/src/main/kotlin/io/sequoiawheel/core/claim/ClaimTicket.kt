package io.sequoiawheel.core.claim

/**
 * The right to dispatch one non-idempotent call once. Its owner ends it by `complete` or `release`; a ticket that is
 * never ended leaves a claim without outcome, which is never dispatched again.
 */
class ClaimTicket internal constructor(
    val key: ClaimKey,
    internal val record: ClaimRecord,
) {
    /** Version of the claim object as last known; only a hint, the object API decides. */
    @Volatile
    internal var version = 0L

    /** Unique for this attempt to claim. */
    val claimId: String get() = record.claimId
}
