package io.sequoiawheel.daemon.placement

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.routing.ReplicaView
import io.sequoiawheel.core.serving.PlacedRequest

/** Where requests get room at replicas. Implementations are thread-safe. */
internal interface RoomSource {
    /** Returns the listed replicas that could serve [need], each as it is known now. */
    fun candidates(need: RoomNeed): List<Candidate>

    /** Returns how many prompt tokens [replica] probably holds for [need]. */
    fun cachedTokens(
        replica: InstanceId,
        need: RoomNeed,
    ): Long

    /** Asks for room at [candidate]; returns it, or null if there is none now. */
    suspend fun reserve(
        candidate: Instance,
        need: RoomNeed,
    ): Room?

    /** A replica and its view. */
    class Candidate(
        val instance: Instance,
        val view: ReplicaView,
    )

    /** Room at one replica. */
    interface Room {
        val replica: Instance

        fun onFirstToken(elapsedMillis: Long)

        fun finish(
            verdict: PlacedRequest.Verdict,
            tokens: Int,
        )
    }
}
