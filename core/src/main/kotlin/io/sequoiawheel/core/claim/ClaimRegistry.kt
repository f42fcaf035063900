/*
 * At-most-once execution of non-idempotent calls. A conditional write creates a claim object before the dispatch, so
 * only one of the instances that receive the same key dispatches the call. Responses of the object API can be lost, so
 * each attempt has a unique claim id: reading that id back proves that the write succeeded. If the outcome of the write
 * stays unknown, nothing is dispatched and the claim is released in the background.
 *
 * A release writes the state RELEASED and never deletes the object. A delayed create, which requires that no object
 * exists, then fails instead of recreating a claim that was released.
 */
package io.sequoiawheel.core.claim

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.StoredObject
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Claims calls on behalf of one entry instance. Thread-safe.
 *
 * @param instance identity of this process; it is stored in claims so that others can tell a running call from a lost
 *   one
 * @param wallClock milliseconds since the epoch, used only for retention
 * @param isLive whether the membership table lists an instance as live or leaving
 * @param newClaimId returns an id that is unique in the deployment
 */
class ClaimRegistry(
    private val api: ObjectApi,
    private val instance: InstanceId,
    private val wallClock: Clock,
    private val isLive: (InstanceId) -> Boolean,
    private val newClaimId: () -> String,
    private val policy: ClaimPolicy = ClaimPolicy(),
) {
    private val pending = PendingClaimWrites(policy.maximumPendingWrites)
    private val storeBreaker = StoreCircuitBreaker(wallClock)

    /** Number of releases and completions that the object API has not confirmed yet. */
    val pendingWriteCount: Int get() = pending.size

    /**
     * Claims [key] for the body with [requestDigest] within [timeoutMillis]. If the coroutine is cancelled before a
     * decision is reached, a claim that may exist is released in the background.
     *
     * @param retentionMillis retention period of the outcome, from the service document
     */
    suspend fun claim(
        key: ClaimKey,
        requestDigest: String,
        retentionMillis: Long,
        timeoutMillis: Long,
    ): ClaimDecision {
        if (!storeBreaker.tryAcquire()) return ClaimDecision.Rejected(storeUnavailable())
        val record =
            ClaimRecord(
                claimId = newClaimId(),
                requestDigest = requestDigest,
                state = ClaimRecord.State.CLAIMED,
                claimedBy = instance,
                createdAtEpochMillis = wallClock.nowMillis(),
                retentionMillis = retentionMillis,
            )
        val attempt = ClaimAttempt(ClaimTicket(key, record))
        var decision: ClaimDecision? = null
        try {
            decision = withTimeoutOrNull(timeoutMillis) { attempt.run() }
        } finally {
            if (decision == null && attempt.mayExist) pending.add(PendingClaimWrite.Release(attempt.ticket))
        }
        return decision ?: ClaimDecision.Rejected(storeUnavailable())
    }

    /**
     * Records the outcome of a dispatched call; a second outcome replaces the first. If the object API does not confirm
     * the write, it is retried in the background and the failure is returned. The caller's answer need not wait for the
     * retry.
     */
    suspend fun complete(
        ticket: ClaimTicket,
        answer: ClaimAnswer,
    ): Either<Failure, Unit> = writeOrEnqueue(PendingClaimWrite.Complete(ticket, answer.withBoundedBody()))

    /**
     * Releases [ticket], after which a call with the same key may run. Use it only if the call was not dispatched or
     * the backend server confirmed that it did not run. A failed write is retried in the background.
     */
    suspend fun release(ticket: ClaimTicket): Either<Failure, Unit> = writeOrEnqueue(PendingClaimWrite.Release(ticket))

    /** Enqueues the release of [ticket] and returns immediately. The conditions of [release] apply. */
    fun releaseLater(ticket: ClaimTicket) = pending.add(PendingClaimWrite.Release(ticket))

    /**
     * Returns the recorded outcome, or a failure: `OUTCOME_NOT_FOUND`, `IN_PROGRESS`, `OUTCOME_UNKNOWN` or
     * `PLATFORM_UNAVAILABLE`.
     */
    suspend fun outcome(key: ClaimKey): Either<Failure, ClaimAnswer> =
        api.get(key.objectKey).fold(
            { failure -> if (failure.isNotFound()) outcomeNotFound().left() else failure.left() },
            { found ->
                val record = ClaimRecord.decode(found.value)
                when (record.state) {
                    ClaimRecord.State.RELEASED -> outcomeNotFound().left()
                    ClaimRecord.State.CLAIMED -> incompleteFailure(record).left()
                    ClaimRecord.State.COMPLETED ->
                        record.answer?.takeUnless { it.isUnknown() }?.right()
                            ?: Failure(ResultCode.OUTCOME_UNKNOWN).left()
                }
            },
        )

    /** Retries pending releases and completions until cancelled. */
    suspend fun retryPendingWrites() {
        while (true) {
            delay(if (pending.size > 1) policy.backlogDelayMillis else policy.pendingWriteDelayMillis)
            retryNextPendingWrite()
        }
    }

    /** Tries the pending write of the highest priority once. */
    suspend fun retryNextPendingWrite() {
        val next = pending.next() ?: return
        val code = reconcile(next).leftOrNull()?.code
        if (code == ResultCode.PLATFORM_UNAVAILABLE) return
        pending.remove(next)
        if (code == ResultCode.DOCUMENT_CONFLICT) pending.add(next)
    }

    private suspend fun writeOrEnqueue(work: PendingClaimWrite): Either<Failure, Unit> {
        var done = false
        try {
            val result = api.put(work.ticket.key.objectKey, work.targetRecord().encode(), work.ticket.version)
            done = result.isRight()
            return result.map { version -> work.ticket.version = version }
        } finally {
            if (!done) pending.add(work)
        }
    }

    /** Updates the object to the target record of [work], unless another claim owns the key. */
    private suspend fun reconcile(work: PendingClaimWrite): Either<Failure, Unit> {
        val key = work.ticket.key.objectKey
        val current = api.get(key)
        val found = current.getOrNull()
        if (found == null && current.leftOrNull()?.isNotFound() != true) return current.map { }
        val record = found?.let { ClaimRecord.decode(it.value) }
        if (record != null && record.claimId != work.ticket.claimId) return Unit.right()
        val target = work.targetRecord()
        if (record == target || record?.forbidsTransitionTo(target) == true) return Unit.right()
        // Writing RELEASED where no object exists makes a delayed create of this claim fail. A conflict means that the
        // delayed create took effect first or that the read was stale; the next retry reads the object again.
        return api.put(key, target.encode(), found?.version ?: 0).map { }
    }

    private fun ClaimRecord.forbidsTransitionTo(target: ClaimRecord): Boolean =
        when (state) {
            ClaimRecord.State.CLAIMED -> false
            ClaimRecord.State.RELEASED -> true
            ClaimRecord.State.COMPLETED -> target.answer == null || target.answer.isUnknown()
        }

    private inner class ClaimAttempt(
        val ticket: ClaimTicket,
    ) {
        /** Whether a write of this claim was sent and may have taken effect. */
        var mayExist = false
            private set

        private var expectedVersion = 0L
        private var foundReleased = false

        suspend fun run(): ClaimDecision? {
            var retryDelayMillis = policy.initialRetryDelayMillis
            repeat(policy.claimAttempts) { attempt ->
                attemptOnce()?.let { return it }
                if (!storeBreaker.tryAcquire()) return null
                if (attempt < policy.claimAttempts - 1 && !foundReleased) delay(retryDelayMillis)
                retryDelayMillis *= 2
            }
            return null
        }

        private suspend fun attemptOnce(): ClaimDecision? {
            mayExist = true
            foundReleased = false
            val written = api.put(ticket.key.objectKey, ticket.record.encode(), expectedVersion)
            storeBreaker.record(written.leftOrNull()?.code != ResultCode.PLATFORM_UNAVAILABLE)
            written.getOrNull()?.let { return granted(it) }
            return api.get(ticket.key.objectKey).fold({ null }, { decideFromExisting(it) })
        }

        private fun decideFromExisting(found: StoredObject): ClaimDecision? {
            val record = ClaimRecord.decode(found.value)
            if (record.claimId == ticket.claimId) {
                return if (record.state == ClaimRecord.State.CLAIMED) granted(found.version) else null
            }
            return when {
                record.state == ClaimRecord.State.RELEASED -> retryAgainstReleased(found)
                record.requestDigest != ticket.record.requestDigest -> rejected(ResultCode.IDEMPOTENCY_KEY_REUSED)
                record.state == ClaimRecord.State.COMPLETED -> recorded(record)
                else -> withoutOwnClaim(ClaimDecision.Rejected(incompleteFailure(record)))
            }
        }

        private fun retryAgainstReleased(found: StoredObject): ClaimDecision? {
            expectedVersion = found.version
            foundReleased = true
            return null
        }

        private fun recorded(record: ClaimRecord): ClaimDecision {
            val answer = record.answer
            if (answer == null || answer.isUnknown()) {
                return rejected(ResultCode.OUTCOME_UNKNOWN)
            }
            return withoutOwnClaim(ClaimDecision.Recorded(answer))
        }

        private fun rejected(code: ResultCode) = withoutOwnClaim(ClaimDecision.Rejected(Failure(code)))

        private fun granted(version: Long): ClaimDecision {
            ticket.version = version
            return ClaimDecision.Granted(ticket)
        }

        private fun withoutOwnClaim(decision: ClaimDecision): ClaimDecision = decision.also { mayExist = false }
    }

    private fun incompleteFailure(record: ClaimRecord): Failure =
        if (isLive(record.claimedBy)) {
            Failure(ResultCode.IN_PROGRESS, retryAfterMillis = policy.retryAfterMillis)
        } else {
            Failure(ResultCode.OUTCOME_UNKNOWN, "the instance that claimed this call is gone and recorded no outcome")
        }

    private fun storeUnavailable() =
        Failure(ResultCode.CLAIM_STORE_UNAVAILABLE, retryAfterMillis = policy.retryAfterMillis)

    private fun outcomeNotFound() = Failure(ResultCode.OUTCOME_NOT_FOUND)

    private fun Failure.isNotFound() = code == ResultCode.OBJECT_NOT_FOUND
}
