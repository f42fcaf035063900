package io.sequoiawheel.core.claim

import arrow.core.Either
import arrow.core.right
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.core.platform.StoredObject
import kotlinx.coroutines.delay

/**
 * Deletes claims whose retention period has expired, at a limited rate. The lease holder runs it; concurrent runs are
 * harmless, because each deletion is conditional on the version that was found expired.
 *
 * @param wallClock milliseconds since the epoch
 * @param deletionsPerSecond deletions share the object API's write rate with new claims
 */
class ClaimExpiry(
    private val api: ObjectApi,
    private val wallClock: Clock,
    private val deletionsPerSecond: Int = DEFAULT_DELETIONS_PER_SECOND,
) {
    /** Deletes expired claims for as long as [holdsLease] returns true; returns the number of deleted claims. */
    suspend fun sweep(holdsLease: () -> Boolean): Either<Failure, Int> {
        var deleted = 0
        val listing = api.list(ObjectKind.CLAIM).fold({ return Either.Left(it) }, { it })
        for (claim in listing.objects.filter(::isExpired)) {
            if (!holdsLease()) return deleted.right()
            val failure = api.delete(claim.key, claim.version).leftOrNull()
            if (failure?.code == ResultCode.PLATFORM_UNAVAILABLE) return Either.Left(failure)
            if (failure == null) deleted++
            delay(MILLIS_PER_SECOND / deletionsPerSecond)
        }
        return deleted.right()
    }

    private fun isExpired(claim: StoredObject): Boolean {
        val record = ClaimRecord.decode(claim.value)
        val retainedMillis = maxOf(record.retentionMillis, MINIMUM_RETENTION_MILLIS) + WALL_CLOCK_SKEW_MILLIS
        return wallClock.nowMillis() - record.createdAtEpochMillis > retainedMillis
    }

    private companion object {
        const val DEFAULT_DELETIONS_PER_SECOND = 20
        const val MILLIS_PER_SECOND = 1_000L

        // Longer than any call and any delayed write, so that deleting a claim never permits a second run of a call in
        // progress.
        const val MINIMUM_RETENTION_MILLIS = 3_600_000L
        const val WALL_CLOCK_SKEW_MILLIS = 60_000L
    }
}
