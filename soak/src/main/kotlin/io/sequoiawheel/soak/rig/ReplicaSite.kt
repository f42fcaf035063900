/*
 * A place where one replica runs at a time, at one address. Each start has an id of its own and announces itself in the
 * store.
 */
package io.sequoiawheel.soak.rig

import io.sequoiawheel.soak.history.Departure
import io.sequoiawheel.soak.history.DisturbanceKind
import io.sequoiawheel.soak.history.PartCrash
import io.sequoiawheel.standin.platform.PlatformEntries
import io.sequoiawheel.standin.platform.PlatformStoreStandIn
import io.sequoiawheel.standin.platform.ReplicaConduct
import io.sequoiawheel.standin.platform.WorkingReplicaStandIn

class ReplicaSite(
    private val name: String,
    private val service: String,
    private val store: PlatformStoreStandIn,
    private val recorder: Recorder,
) : AutoCloseable {
    private var starts = 0

    @Volatile
    private lateinit var replica: WorkingReplicaStandIn

    /** The path that instances take. */
    val path = LoopbackProxy { replica.port }

    /** Id of the replica that runs now. */
    val id: String get() = replica.id

    var conduct: ReplicaConduct
        get() = replica.conduct
        set(value) {
            replica.conduct = value
        }

    /** Prompt parts on which every replica at this place crashes. */
    @Volatile
    var crashingParts: Set<String> = emptySet()

    init {
        start()
    }

    /** Starts a new replica at the address, and registers it. */
    fun start() {
        val newId = "$name.${++starts}"
        replica =
            WorkingReplicaStandIn(newId, recorder.observe(newId), { crashingParts }) { part ->
                startThread { crashOn(part, newId) }
            }
        register("ready")
    }

    /** Ends the replica without notice, and starts another one after [millis]. */
    fun crash(millis: Long) {
        val end = recorder.disturb(DisturbanceKind.REPLICA_CRASH, id)
        replica.isCrashed = true
        replica.close()
        path.resetAll()
        Thread.sleep(millis)
        store.remove(PlatformEntries.REPLICA_KIND, id)
        end()
        start()
    }

    private fun crashOn(
        part: String,
        crashingId: String,
    ) = synchronized(this) {
        if (id == crashingId) {
            recorder.partCrashes += PartCrash(part, id, recorder.nowMillis())
            crash(PART_CRASH_MILLIS)
        }
    }

    /** Ends the replica with notice once its drain time is over, and starts another one at once. */
    fun depart(millis: Long) {
        register("draining")
        recorder.departures += Departure(id, recorder.nowMillis())
        Thread.sleep(PlatformEntries.DRAIN_MILLIS + millis)
        val departing = replica
        store.remove(PlatformEntries.REPLICA_KIND, id)
        val end = recorder.disturb(DisturbanceKind.REPLICA_CRASH, departing.id)
        start()
        departing.isCrashed = true
        departing.close()
        end()
    }

    override fun close() {
        replica.close()
        path.close()
    }

    private fun register(state: String) =
        store.put(PlatformEntries.REPLICA_KIND, id, PlatformEntries.replica(service, path.port, state))

    private companion object {
        /** How long the place is empty after a crash on a part. */
        const val PART_CRASH_MILLIS = 1_500L
    }
}
