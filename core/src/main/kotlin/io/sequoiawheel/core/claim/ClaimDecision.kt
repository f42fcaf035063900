package io.sequoiawheel.core.claim

import io.sequoiawheel.core.model.Failure

/** What to do with a non-idempotent call. */
sealed interface ClaimDecision {
    /** The call is claimed: dispatch it at most once, then complete or release the ticket. */
    data class Granted(
        val ticket: ClaimTicket,
    ) : ClaimDecision

    /** The call ran before; answer with the recorded outcome and do not dispatch. */
    data class Recorded(
        val answer: ClaimAnswer,
    ) : ClaimDecision

    /**
     * Do not dispatch. The failure is `CLAIM_STORE_UNAVAILABLE` (not run), `IDEMPOTENCY_KEY_REUSED`, `IN_PROGRESS`
     * or `OUTCOME_UNKNOWN`.
     */
    data class Rejected(
        val failure: Failure,
    ) : ClaimDecision
}
