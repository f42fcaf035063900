package io.sequoiawheel.standin.server

import kotlinx.serialization.Serializable

/**
 * Faults of the network and the process of a stand-in. New faults replace all earlier ones, so an empty object restores
 * normal operation.
 *
 * @property outage every call is answered with 503 and has no effect
 * @property slowMillis delay in milliseconds before each call is handled
 * @property stalled calls and streams make no progress but stay open
 * @property loseAnswers number of upcoming answers to lose after their calls took effect
 * @property cutConnections aborts the open streams and unanswered calls, once
 * @property dieForMillis stops the process immediately, once; it restarts after this time in milliseconds, or never if
 *   negative
 */
@Serializable
data class LinkFaults(
    val outage: Boolean = false,
    val slowMillis: Long = 0,
    val stalled: Boolean = false,
    val loseAnswers: Int = 0,
    val cutConnections: Boolean = false,
    val dieForMillis: Long? = null,
)
