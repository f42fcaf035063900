package io.sequoiawheel.standin.plain

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A fault that affects one call of a plain service. */
@Serializable
enum class AnswerFault {
    /** The call is refused with a header that states that it did not run. */
    @SerialName("refused")
    REFUSED,

    /** The call runs and is answered with status 500. */
    @SerialName("failed")
    FAILED,

    /** The call runs and its answer is delayed. */
    @SerialName("late")
    LATE,

    /** The call runs and gets the answer of another call. */
    @SerialName("crossed")
    CROSSED,

    /** The call runs and the connection is aborted without an answer. */
    @SerialName("lost")
    LOST,

    /** The call runs and its answer contains the id of another request. */
    @SerialName("mismatched")
    MISMATCHED,
}
