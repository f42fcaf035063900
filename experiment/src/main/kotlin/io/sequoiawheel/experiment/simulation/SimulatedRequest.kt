package io.sequoiawheel.experiment.simulation

import io.sequoiawheel.core.model.Failure

/** One request on its way. The simulation changes it; policies only read it. */
class SimulatedRequest(
    val arrival: Arrival,
) {
    /** Where a request is. */
    enum class State {
        /** At its entry instance. */
        PENDING,

        /** On its way to a replica or there. */
        DISPATCHED,

        /** Complete. */
        DONE,

        /** Rejected by the policy before anything ran. */
        REFUSED,

        /** The caller gave up because no first token came in time. */
        TIMED_OUT,

        /** The replica was lost after the first token, or no replica could be reached. */
        FAILED,
    }

    /** Where the request is now. */
    var state = State.PENDING
        internal set

    /** The replica that it was sent to last. */
    var replica: SimulatedReplica? = null
        internal set

    /** Tokens that the entry instance has seen. */
    var produced = 0
        internal set

    /** When the first token reached the entry instance; NaN before. */
    var firstTokenAt = Double.NaN
        internal set

    /** When the last token reached the entry instance; NaN before the first. */
    var lastTokenAt = Double.NaN
        internal set

    /** Time beyond the expected gap between tokens after the first, in milliseconds. */
    var stallMillis = 0.0
        internal set

    /** Dispatches so far. */
    var attempts = 0
        internal set

    /** Why it was refused or failed. */
    var failure: Failure? = null
        internal set

    /** Whether the request has reached its final state. */
    val isOver: Boolean get() = state != State.PENDING && state != State.DISPATCHED

    /** Tokens in the replica's memory. */
    val heldTokens: Int get() = arrival.request.promptTokens + produced
}
