/*
 * At-most-once for non-idempotent calls. A claim object is created by a conditional write before the dispatch, so of
 * all instances that hold the same key, one dispatches. The object API's answers can be lost, therefore each attempt
 * carries its own claim id: finding that id by read-back means that the write succeeded. Without a definite answer
 * nothing is dispatched, and the claim is released in the background.
 *
 * A release writes the state RELEASED and never deletes. A delayed create, which expects that no object exists, then
 * fails instead of reviving a claim that was given up.
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
 * Claims of one entry instance. Thread-safe.
 *
 * @param instance identity of this process; claims name it, so that others can tell a running call from a lost one
 * @param wallClock milliseconds since the epoch, for retention only
 * @param isLive whether an instance is known to be live or leaving, from the membership
 * @param newClaimId returns a value that never occurs twice in the deployment
 */
class ClaimRegistry(
    private val api: ObjectApi,
    private val instance: InstanceId,
    private val wallClock: Clock,
    private val isLive: (InstanceId) -> Boolean,
    private val newClaimId: () -> String,
    private val policy: ClaimPolicy = ClaimPolicy(),
) {
    private val pending = PendingClaims(policy.maximumPending)
    private val gate = StoreGate(wallClock)

    /** Releases and completions that the object API has not confirmed yet. */
    val pendingCount: Int get() = pending.size

    /**
     * Claims [key] for the body with [requestDigest], within [timeoutMillis]. If the coroutine is cancelled before the
     * decision, a claim that may exist is released in the background.
     *
     * @param retentionMillis how long the outcome is kept, from the service document
     */
    suspend fun claim(
        key: ClaimKey,
        requestDigest: String,
        retentionMillis: Long,
        timeoutMillis: Long,
    ): ClaimDecision {
        if (!gate.mayTry()) return ClaimDecision.Rejected(unavailable())
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
            if (decision == null && attempt.mayExist) pending.add(PendingClaim.Release(attempt.ticket))
        }
        return decision ?: ClaimDecision.Rejected(unavailable())
    }

    /**
     * Records the outcome of a dispatched call; a second outcome replaces the first. If the object API does not
     * confirm it, the write is repeated in the background and the failure is returned; the caller's answer need not
     * wait for it.
     */
    suspend fun complete(
        ticket: ClaimTicket,
        answer: ClaimAnswer,
    ): Either<Failure, Unit> = settle(PendingClaim.Complete(ticket, answer.bounded()))

    /**
     * Gives [ticket] up. Only for calls that were not dispatched, or for which the backend server proved that they did
     * not run: the same key may run afterwards. Failures are repeated in the background.
     */
    suspend fun release(ticket: ClaimTicket): Either<Failure, Unit> = settle(PendingClaim.Release(ticket))

    /** Releases [ticket] in the background, without waiting. The conditions of [release] apply. */
    fun releaseLater(ticket: ClaimTicket) = pending.add(PendingClaim.Release(ticket))

    /** Returns the recorded outcome, or why there is none, from `OUTCOME_NOT_FOUND` to `PLATFORM_UNAVAILABLE`. */
    suspend fun outcome(key: ClaimKey): Either<Failure, ClaimAnswer> =
        api.get(key.objectKey).fold(
            { failure -> if (failure.isNotFound()) notFound().left() else failure.left() },
            { found ->
                val record = ClaimRecord.decode(found.value)
                when (record.state) {
                    ClaimRecord.State.RELEASED -> notFound().left()
                    ClaimRecord.State.CLAIMED -> unfinished(record).left()
                    ClaimRecord.State.COMPLETED ->
                        record.answer?.takeUnless { it.isUnknown() }?.right()
                            ?: Failure(ResultCode.OUTCOME_UNKNOWN).left()
                }
            },
        )

    /** Repeats pending releases and completions until cancelled. */
    suspend fun runBackground() {
        while (true) {
            delay(if (pending.size > 1) policy.backlogMillis else policy.backgroundMillis)
            settlePending()
        }
    }

    /** Tries the most urgent pending release or completion once. */
    suspend fun settlePending() {
        val next = pending.first() ?: return
        val code = write(next).leftOrNull()?.code
        if (code == ResultCode.PLATFORM_UNAVAILABLE) return
        pending.remove(next)
        if (code == ResultCode.DOCUMENT_CONFLICT) pending.add(next)
    }

    private suspend fun settle(work: PendingClaim): Either<Failure, Unit> {
        var done = false
        try {
            val result = api.put(work.ticket.key.objectKey, work.target().encode(), work.ticket.version)
            done = result.isRight()
            return result.map { version -> work.ticket.version = version }
        } finally {
            if (!done) pending.add(work)
        }
    }

    /** Brings the object to the state that [work] asks for, unless another claim holds the key by now. */
    private suspend fun write(work: PendingClaim): Either<Failure, Unit> {
        val key = work.ticket.key.objectKey
        val current = api.get(key)
        val found = current.getOrNull()
        if (found == null && current.leftOrNull()?.isNotFound() != true) return current.map { }
        val record = found?.let { ClaimRecord.decode(it.value) }
        if (record != null && record.claimId != work.ticket.claimId) return Unit.right()
        val target = work.target()
        if (record == target || record?.forbids(target) == true) return Unit.right()
        // Writing RELEASED where no object exists makes a delayed create of this claim fail. A conflict means that the
        // delayed create came first, or that the read was stale; the next pass sees which.
        return api.put(key, target.encode(), found?.version ?: 0).map { }
    }

    private fun ClaimRecord.forbids(target: ClaimRecord): Boolean =
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
            var pause = policy.firstRetryMillis
            repeat(policy.claimAttempts) { attempt ->
                attemptOnce()?.let { return it }
                if (!gate.mayTry()) return null
                if (attempt < policy.claimAttempts - 1 && !foundReleased) delay(pause)
                pause *= 2
            }
            return null
        }

        private suspend fun attemptOnce(): ClaimDecision? {
            mayExist = true
            foundReleased = false
            val written = api.put(ticket.key.objectKey, ticket.record.encode(), expectedVersion)
            gate.record(written.leftOrNull()?.code != ResultCode.PLATFORM_UNAVAILABLE)
            written.getOrNull()?.let { return granted(it) }
            return api.get(ticket.key.objectKey).fold({ null }, { decideFrom(it) })
        }

        private fun decideFrom(found: StoredObject): ClaimDecision? {
            val record = ClaimRecord.decode(found.value)
            if (record.claimId == ticket.claimId) {
                return if (record.state == ClaimRecord.State.CLAIMED) granted(found.version) else null
            }
            return when {
                record.state == ClaimRecord.State.RELEASED -> retryOver(found)
                record.requestDigest != ticket.record.requestDigest -> rejected(ResultCode.IDEMPOTENCY_KEY_REUSED)
                record.state == ClaimRecord.State.COMPLETED -> recorded(record)
                else -> settled(ClaimDecision.Rejected(unfinished(record)))
            }
        }

        private fun retryOver(found: StoredObject): ClaimDecision? {
            expectedVersion = found.version
            foundReleased = true
            return null
        }

        private fun recorded(record: ClaimRecord): ClaimDecision {
            val answer = record.answer
            if (answer == null || answer.isUnknown()) {
                return rejected(ResultCode.OUTCOME_UNKNOWN)
            }
            return settled(ClaimDecision.Recorded(answer))
        }

        private fun rejected(code: ResultCode) = settled(ClaimDecision.Rejected(Failure(code)))

        private fun granted(version: Long): ClaimDecision {
            ticket.version = version
            return ClaimDecision.Granted(ticket)
        }

        private fun settled(decision: ClaimDecision): ClaimDecision = decision.also { mayExist = false }
    }

    private fun unfinished(record: ClaimRecord): Failure =
        if (isLive(record.claimedBy)) {
            Failure(ResultCode.IN_PROGRESS, retryAfterMillis = policy.retryAfterMillis)
        } else {
            Failure(ResultCode.OUTCOME_UNKNOWN, "the instance that held this call is gone before recording an outcome")
        }

    private fun unavailable() = Failure(ResultCode.CLAIM_STORE_UNAVAILABLE, retryAfterMillis = policy.retryAfterMillis)

    private fun notFound() = Failure(ResultCode.OUTCOME_NOT_FOUND)

    private fun Failure.isNotFound() = code == ResultCode.OBJECT_NOT_FOUND
}
