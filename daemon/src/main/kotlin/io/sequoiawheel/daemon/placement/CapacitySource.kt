package io.sequoiawheel.daemon.placement

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.routing.ReplicaView
import io.sequoiawheel.core.serving.PlacedRequest

/** Reserves capacity at replicas. Implementations are thread-safe. */
internal interface CapacitySource {
    /** Returns the listed replicas of the service of [required], each with its last known state. */
    fun candidates(required: CapacityRequirements): List<Candidate>

    /** Returns an estimate of how many prompt tokens of [required] are in the prefix cache of [replica]. */
    fun cachedTokens(
        replica: InstanceId,
        required: CapacityRequirements,
    ): Long

    /** Reserves capacity at [candidate]; returns null if none is available now. */
    suspend fun reserve(
        candidate: Instance,
        required: CapacityRequirements,
    ): ReservedCapacity?

    /** A replica and the view that the replica chooser ranks it by. */
    class Candidate(
        val instance: Instance,
        val view: ReplicaView,
    )

    /** Capacity reserved for one request at [replica], until [finish]. */
    interface ReservedCapacity {
        val replica: Instance

        /** Records the first token, or the first byte of an answer, [elapsedMillis] after dispatch. */
        fun onFirstToken(elapsedMillis: Long)

        /** Releases the capacity after [tokens] produced tokens and records [verdict] for the replica. */
        fun finish(
            verdict: PlacedRequest.Verdict,
            tokens: Int,
        )
    }
}
