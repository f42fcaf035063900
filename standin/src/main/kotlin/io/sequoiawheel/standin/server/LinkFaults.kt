package io.sequoiawheel.standin.server

import kotlinx.serialization.Serializable

/**
 * The faults of the network and process around a stand-in. An order replaces all of them, so an empty order heals the
 * link.
 *
 * @property outage every call is answered with 503 and has no effect
 * @property slowMillis delay before each call is handled
 * @property stalled calls and streams make no progress and stay open
 * @property loseAnswers how many of the next answers are lost after the call has taken effect
 * @property cutConnections ends the open streams and calls without an answer, once
 * @property dieForMillis ends the process at once, once; it starts again after this time, or never if negative
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
