package io.sequoiawheel.core.relay

/** Why it is certain that a replica did not run a request. Nothing else allows a refusal that says so. */
enum class NotRunProof {
    /** No byte of the request left this process towards a replica. */
    NOTHING_SENT,

    /** The replica answered that it did not run the request. */
    REFUSED_BY_REPLICA,
}
