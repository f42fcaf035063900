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
import io.sequoiawheel.standin.platform.ReplicaSetup
import io.sequoiawheel.standin.platform.RunCopies
import io.sequoiawheel.standin.platform.StreamPace
import io.sequoiawheel.standin.platform.WorkingReplicaStandIn

/** What a place of replicas shares with others; [seed] is its own. */
data class ReplicaPlace(
    val zone: String,
    val copies: RunCopies,
    val pace: StreamPace,
    val seed: Long,
)

class ReplicaSite(
    private val name: String,
    private val service: String,
    private val place: ReplicaPlace,
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

    /** What the replica that runs now does, and those that follow. */
    var conduct = ReplicaConduct()
        set(value) {
            field = value
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
        val address = "127.0.0.1:${path.port}"
        place.copies.clear(address)
        val setup = ReplicaSetup(address, place.copies, place.pace, place.seed + starts)
        replica =
            WorkingReplicaStandIn(newId, recorder.observe(newId), setup, { crashingParts }) { part ->
                startThread { crashOn(part, newId) }
            }
        replica.conduct = conduct
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
        store.put(PlatformEntries.REPLICA_KIND, id, PlatformEntries.replica(service, path.port, state, place.zone))

    private companion object {
        /** How long the place is empty after a crash on a part. */
        const val PART_CRASH_MILLIS = 1_500L
    }
}
