package io.sequoiawheel.core.relay

/** Evidence that no replica executed a request. A refusal may state this only with one of these. */
enum class NotRunProof {
    /** No byte of the request was sent to a replica. */
    NOTHING_SENT,

    /** The replica responded that it did not execute the request. */
    REFUSED_BY_REPLICA,
}
