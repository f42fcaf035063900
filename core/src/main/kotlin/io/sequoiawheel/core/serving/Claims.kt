package io.sequoiawheel.core.serving

import arrow.core.Either
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName

/**
 * The registry of claims to run non-idempotent calls, shared by all entry instances. Implementations are thread-safe.
 */
interface Claims {
    /**
     * Claims [identity] for a body with [requestDigest] within [timeoutMillis]. Fails with `CLAIM_STORE_UNAVAILABLE`,
     * `IN_PROGRESS`, `OUTCOME_UNKNOWN` or `IDEMPOTENCY_KEY_REUSED`; the call must not be dispatched then.
     *
     * @param retentionMillis how long the outcome can be queried
     */
    suspend fun claim(
        identity: Identity,
        requestDigest: String,
        retentionMillis: Long,
        timeoutMillis: Long,
    ): Either<Failure, Decision>

    /** Records [answer] as the outcome of a granted claim. */
    suspend fun complete(
        granted: Decision.Granted,
        answer: RecordedAnswer,
    )

    /** Records that the outcome of a granted claim will never be known. */
    suspend fun recordOutcomeUnknown(granted: Decision.Granted)

    /** Releases a granted claim after the backend server proved that the call did not run. */
    suspend fun release(granted: Decision.Granted)

    /** Returns the recorded answer, or `OUTCOME_NOT_FOUND`, `IN_PROGRESS`, `OUTCOME_UNKNOWN`. */
    suspend fun outcome(identity: Identity): Either<Failure, RecordedAnswer>

    /** The identity of a claimed call: its idempotency key within a service, a workspace and a call. */
    data class Identity(
        val service: ServiceName,
        val workspace: WorkspaceName,
        val call: String,
        val key: String,
    )

    /** An answer as it is recorded; [body] is JSON text. */
    data class RecordedAnswer(
        val status: Int,
        val body: String,
    )

    /** The decision about a claim. */
    sealed interface Decision {
        /** Only the caller of [claim] may dispatch the call. */
        interface Granted : Decision

        /** The call ran earlier with this answer. */
        data class Recorded(
            val answer: RecordedAnswer,
        ) : Decision
    }
}
