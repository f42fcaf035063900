/*
 * A lease on one duty, kept in one object. No clock is shared: a contender measures on its own clock how long the
 * object's version stays unchanged, and the holder counts its term from before it sent the renewal, thus always less
 * than any contender does. The fencing number is for targets that outlive a pause between the check and the action.
 */
package io.sequoiawheel.core.lease

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.core.platform.StoredObject
import kotlinx.coroutines.delay

/**
 * One instance's part in the lease [name]. [run] is one coroutine; [tenure] and [mayAct] may be read from any thread.
 */
class Lease(
    private val api: ObjectApi,
    private val name: String,
    private val instance: InstanceId,
    private val clock: Clock,
    private val policy: LeasePolicy = LeasePolicy(),
) {
    private class Observation(
        val version: Long,
        val record: LeaseRecord,
        val firstSeenAt: Long,
    )

    private val key = ObjectKey(ObjectKind.LEASE, name)
    private var observed: Observation? = null
    private var renewal = 0L
    private var version = 0L

    @Volatile
    private var current: Tenure? = null

    /** The tenure in which this instance may act now, or null. Ask before each action. */
    val tenure: Tenure? get() = current?.takeIf { clock.nowMillis() < it.actUntil }

    /** Returns whether this instance may act now. */
    fun mayAct(): Boolean = tenure != null

    /** Contends for the lease and renews it until cancelled. */
    suspend fun run() {
        while (true) {
            step()
            delay(if (current == null) policy.pollMillis else policy.renewMillis)
        }
    }

    /** Makes one attempt to observe, take over or renew. */
    suspend fun step() {
        if (current == null) contend() else renew()
    }

    /** Gives the lease up, so that a contender need not wait for the term; the answer may be lost without harm. */
    suspend fun resign() {
        val held = current ?: return
        current = null
        api.put(key, LeaseRecord(instance.value, held.fencing, 0, ++renewal).encode(), version)
    }

    private suspend fun renew() {
        val held = current ?: return
        val sentAt = clock.nowMillis()
        val record = LeaseRecord(instance.value, held.fencing, policy.termMillis, ++renewal)
        api.put(key, record.encode(), version).fold(
            { readBack(record, sentAt) },
            { prolong(it, sentAt) },
        )
    }

    /** Decides an unconfirmed renewal: its own record prolongs, a foreign one ends the tenure, silence does neither. */
    private suspend fun readBack(
        record: LeaseRecord,
        sentAt: Long,
    ) {
        api.get(key).fold(
            { if (it.code == ResultCode.OBJECT_NOT_FOUND) lose() },
            { found ->
                val stored = LeaseRecord.decode(found.value)
                when {
                    stored == record -> prolong(found.version, sentAt)
                    stored.holder != record.holder || stored.fencing != record.fencing -> lose()
                    // An earlier renewal took effect late: continue from its version, without a longer term. A stale
                    // read must not move the version back.
                    else -> version = maxOf(version, found.version)
                }
            },
        )
        if (tenure == null) lose()
    }

    private fun prolong(
        newVersion: Long,
        sentAt: Long,
    ) {
        version = newVersion
        current = current?.copy(actUntil = sentAt + policy.termMillis - policy.marginMillis)
    }

    private fun lose() {
        current = null
        observed = null
    }

    private suspend fun contend() {
        api.get(key).fold(
            { if (it.code == ResultCode.OBJECT_NOT_FOUND) takeOver(0, 0) },
            { observe(it) },
        )
    }

    private suspend fun observe(found: StoredObject) {
        val now = clock.nowMillis()
        val last = observed
        if (last == null || last.version != found.version) {
            observed = Observation(found.version, LeaseRecord.decode(found.value), now)
            return
        }
        val silence = now - last.firstSeenAt
        if (silence > last.record.termMillis + policy.marginMillis) takeOver(last.version, last.record.fencing)
    }

    private suspend fun takeOver(
        expectedVersion: Long,
        lastFencing: Long,
    ) {
        val sentAt = clock.nowMillis()
        val record = LeaseRecord(instance.value, lastFencing + 1, policy.termMillis, ++renewal)
        val written = api.put(key, record.encode(), expectedVersion)
        val newVersion =
            written.getOrNull()
                ?: api
                    .get(key)
                    .getOrNull()
                    ?.takeIf { LeaseRecord.decode(it.value) == record }
                    ?.version
                ?: return
        version = newVersion
        current = Tenure(record.fencing, clock.nowMillis(), sentAt + policy.termMillis - policy.marginMillis)
    }
}
