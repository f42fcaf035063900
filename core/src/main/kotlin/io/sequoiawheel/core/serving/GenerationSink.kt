package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.RequestId

/**
 * The receiver of the tokens of one generation. Functions suspend while the caller reads too slowly and throw
 * [CallerDisconnectedException] once it has disconnected.
 */
interface GenerationSink {
    /** Whether a token reached the caller; from then on the generation must not be replaced by another one. */
    val delivered: Boolean

    /** Announces that [generation] is sent to [replica]. Called again if the request moves to another replica. */
    suspend fun onAccepted(
        replica: Instance,
        generation: RequestId,
    )

    /** Receives the token at [offset]; offsets increase by one. */
    suspend fun onToken(
        offset: Int,
        text: String,
    )

    /** Discards all tokens received so far. Called only while [delivered] is false. */
    fun onRestart()
}
