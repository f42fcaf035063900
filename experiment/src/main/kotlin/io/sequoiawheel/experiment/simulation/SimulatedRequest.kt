package io.sequoiawheel.experiment.simulation

import io.sequoiawheel.core.model.Failure

/** The state of one request. The simulation updates it; policies only read it. */
class SimulatedRequest(
    val arrival: Arrival,
) {
    /** The progress of a request. */
    enum class State {
        /** Waiting at its entry instance. */
        PENDING,

        /** Sent to a replica, and in transit or running there. */
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

    /** The current state. */
    var state = State.PENDING
        internal set

    /** The replica of the last dispatch. */
    var replica: SimulatedReplica? = null
        internal set

    /** Tokens that the entry instance has received. */
    var produced = 0
        internal set

    /** When the first token reached the entry instance; NaN before. */
    var firstTokenAt = Double.NaN
        internal set

    /** When the last token reached the entry instance; NaN before the first. */
    var lastTokenAt = Double.NaN
        internal set

    /** Total time in milliseconds by which gaps between tokens exceeded the expected gap. */
    var stallMillis = 0.0
        internal set

    /** Dispatches so far. */
    var attempts = 0
        internal set

    /** The reason for a refusal or failure. */
    var failure: Failure? = null
        internal set

    /** Whether the request has reached its final state. */
    val isFinished: Boolean get() = state != State.PENDING && state != State.DISPATCHED

    /** Tokens in the replica's memory. */
    val heldTokens: Int get() = arrival.request.promptTokens + produced
}
