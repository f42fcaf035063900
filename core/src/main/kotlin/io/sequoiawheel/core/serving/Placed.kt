package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.Instance

/** Room that one request holds at one replica, until [finish]. */
interface Placed {
    /** The replica that has the room. */
    val replica: Instance

    /** How long the request waited for the room, in milliseconds. */
    val queueMillis: Long

    /** Records the first token, or the first byte of an answer, [elapsedMillis] after dispatch. */
    fun onFirstToken(elapsedMillis: Long)

    /** Returns the room. Only the first call has an effect. [tokens] is the number of tokens that were produced. */
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

        /** The replica proved that nothing ran. */
        REFUSED,

        /** The replica could not be reached, broke off or fell silent. */
        FAILED,
    }
}
