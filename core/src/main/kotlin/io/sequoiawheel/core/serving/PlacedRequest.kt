package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.Instance

/** A request that holds capacity at one replica until [finish]. */
interface PlacedRequest {
    /** The replica at which the capacity is reserved. */
    val replica: Instance

    /** How long the request waited for capacity, in milliseconds. */
    val queueMillis: Long

    /** Records the first token, or the first byte of an answer, [elapsedMillis] after dispatch. */
    fun onFirstToken(elapsedMillis: Long)

    /**
     * Releases the capacity. Only the first call has an effect. [tokens] is the number of tokens that were produced.
     */
    fun finish(
        verdict: Verdict,
        tokens: Int,
    )

    /** How the request ended at the replica. */
    enum class Verdict {
        /** The replica answered completely. */
        COMPLETED,

        /** The request ended for a reason that says nothing about the replica. */
        CANCELLED,

        /** The replica proved that the request did not run. */
        REFUSED,

        /** The replica could not be reached, closed the connection early or stopped responding. */
        FAILED,
    }
}
