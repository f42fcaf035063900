package io.sequoiawheel.core.grant

/** The granting instance's decision about one reservation. */
enum class ReserveResult {
    /** The request may be sent to the replica now. */
    GRANTED,

    /** The replica has no room; the request may wait or go elsewhere. */
    NO_ROOM,

    /** The receiver does not grant for this replica, or the sender is not registered with it. */
    NOT_RESPONSIBLE,
}
