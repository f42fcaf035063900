package io.sequoiawheel.core.configuration

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind

/**
 * Writes a zone's [InForceStatus]: only when it changed, and at most every [INTERVAL_MILLIS]. Five zones then cost at
 * most 2.5 writes a second while changes spread, and none otherwise. Used by one coroutine.
 */
class InForceWriter(
    private val api: ObjectApi,
    private val clock: Clock,
) {
    private var version = 0L
    private var written: InForceStatus? = null
    private var attemptedAt: Long? = null

    /** Writes [status] if it is due; returns whether the object holds it now. */
    suspend fun offer(status: InForceStatus): Boolean {
        if (status == written) return true
        val now = clock.nowMillis()
        attemptedAt?.let { if (now - it < INTERVAL_MILLIS) return false }
        attemptedAt = now
        val key = ObjectKey(ObjectKind.IN_FORCE, status.zone.value)
        val result = api.put(key, status.encode(), version)
        result.onRight {
            version = it
            written = status
        }
        // The other watcher of the zone wrote, or an answer was lost: adopt the version for the next attempt.
        if (result.leftOrNull()?.code == ResultCode.DOCUMENT_CONFLICT) {
            version = api.get(key).fold({ 0 }, { it.version })
        }
        return result.isRight()
    }

    companion object {
        /** Shortest time between two writes, in milliseconds. */
        const val INTERVAL_MILLIS = 2_000L
    }
}
