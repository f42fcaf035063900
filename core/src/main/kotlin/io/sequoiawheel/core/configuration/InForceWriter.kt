package io.sequoiawheel.core.configuration

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind

/**
 * Writes a zone's [InForceStatus] only when it changed, and at most once per [INTERVAL_MILLIS]. Five zones then make at
 * most 2.5 writes per second while a change propagates, and none otherwise. Not thread-safe: used by one coroutine.
 */
class InForceWriter(
    private val api: ObjectApi,
    private val clock: Clock,
) {
    private var version = 0L
    private var lastWritten: InForceStatus? = null
    private var lastAttemptAt: Long? = null

    /** Writes [status] if it changed and the interval has passed; returns whether the object holds it now. */
    suspend fun writeIfDue(status: InForceStatus): Boolean {
        if (status == lastWritten) return true
        val now = clock.nowMillis()
        lastAttemptAt?.let { if (now - it < INTERVAL_MILLIS) return false }
        lastAttemptAt = now
        val key = ObjectKey(ObjectKind.IN_FORCE, status.zone.value)
        val result = api.put(key, status.encode(), version)
        result.onRight {
            version = it
            lastWritten = status
        }
        // The zone's other watcher wrote the object, or a response was lost: use the current version for the next
        // attempt.
        if (result.leftOrNull()?.code == ResultCode.DOCUMENT_CONFLICT) {
            version = api.get(key).fold({ 0 }, { it.version })
        }
        return result.isRight()
    }

    companion object {
        /** Minimum time between two writes, in milliseconds. */
        const val INTERVAL_MILLIS = 2_000L
    }
}
