/*
 * A lease stored in one object. It needs no synchronized clocks: a contender measures on its own clock how long the
 * object's version stays unchanged, and the holder counts its term from before it sent the renewal, so the holder's
 * term always ends before any contender's wait. The fencing number lets a target refuse an action of an earlier holder
 * that was paused between checking the lease and acting.
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
 * One instance's view of the lease [name]. [run] must be called by one coroutine only; [tenure] and [isHeld] may be
 * read from any thread.
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
    private var lastObservation: Observation? = null
    private var renewal = 0L
    private var version = 0L

    @Volatile
    private var current: Tenure? = null

    /** The current tenure of this instance, or null if it does not hold the lease. Check it before each action. */
    val tenure: Tenure? get() = current?.takeIf { clock.nowMillis() < it.validUntil }

    /** Returns whether this instance holds the lease now. */
    fun isHeld(): Boolean = tenure != null

    /** Contends for the lease and renews it until cancelled. */
    suspend fun run() {
        while (true) {
            contendOrRenew()
            delay(if (current == null) policy.pollMillis else policy.renewMillis)
        }
    }

    /** Makes one attempt to observe, take over or renew. */
    suspend fun contendOrRenew() {
        if (current == null) contend() else renew()
    }

    /** Releases the lease so that a contender need not wait for the term to end. A lost write only causes that wait. */
    suspend fun resign() {
        val heldTenure = current ?: return
        current = null
        api.put(key, LeaseRecord(instance.value, heldTenure.fencing, 0, ++renewal).encode(), version)
    }

    private suspend fun renew() {
        val heldTenure = current ?: return
        val sentAt = clock.nowMillis()
        val record = LeaseRecord(instance.value, heldTenure.fencing, policy.termMillis, ++renewal)
        api.put(key, record.encode(), version).fold(
            { resolveUnconfirmedRenewal(record, sentAt) },
            { extend(it, sentAt) },
        )
    }

    /**
     * Reads the object back after an unconfirmed renewal: the record of this renewal extends the tenure, one of another
     * holder ends it, and a failed read does neither.
     */
    private suspend fun resolveUnconfirmedRenewal(
        record: LeaseRecord,
        sentAt: Long,
    ) {
        api.get(key).fold(
            { if (it.code == ResultCode.OBJECT_NOT_FOUND) endTenure() },
            { found ->
                val stored = LeaseRecord.decode(found.value)
                when {
                    stored == record -> extend(found.version, sentAt)
                    stored.holder != record.holder || stored.fencing != record.fencing -> endTenure()
                    // An earlier renewal took effect late: continue from its version without extending the term. A
                    // stale read must not decrease the version.
                    else -> version = maxOf(version, found.version)
                }
            },
        )
        if (tenure == null) endTenure()
    }

    private fun extend(
        newVersion: Long,
        sentAt: Long,
    ) {
        version = newVersion
        current = current?.copy(validUntil = sentAt + policy.termMillis - policy.marginMillis)
    }

    private fun endTenure() {
        current = null
        lastObservation = null
    }

    private suspend fun contend() {
        api.get(key).fold(
            { if (it.code == ResultCode.OBJECT_NOT_FOUND) takeOver(0, 0) },
            { observe(it) },
        )
    }

    private suspend fun observe(found: StoredObject) {
        val now = clock.nowMillis()
        val last = lastObservation
        if (last == null || last.version != found.version) {
            lastObservation = Observation(found.version, LeaseRecord.decode(found.value), now)
            return
        }
        val unchangedMillis = now - last.firstSeenAt
        if (unchangedMillis > last.record.termMillis + policy.marginMillis) takeOver(last.version, last.record.fencing)
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
