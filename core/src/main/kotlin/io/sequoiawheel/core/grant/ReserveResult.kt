package io.sequoiawheel.core.grant

/** The granting instance's decision about one reservation. */
enum class ReserveResult {
    /** The request may be sent to the replica now. */
    GRANTED,

    /** The replica has no free capacity; the request may wait or use another replica. */
    NO_CAPACITY,

    /** The receiver does not grant for this replica, or the sender is not registered with it. */
    NOT_RESPONSIBLE,
}
