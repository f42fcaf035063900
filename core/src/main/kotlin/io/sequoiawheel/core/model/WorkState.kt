package io.sequoiawheel.core.model

/** Whether the backend server ran the work of a request, as far as the system can determine with certainty. */
enum class WorkState(
    val label: String,
) {
    /** Nothing was dispatched, or the backend server reported that the request did not run. */
    NOT_RUN("not run"),

    /** The backend server started the work. */
    RAN("ran"),

    /** The work may or may not have run. */
    UNKNOWN("unknown"),
}
