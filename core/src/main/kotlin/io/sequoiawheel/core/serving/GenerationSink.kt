package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.RequestId

/**
 * Where the tokens of one generation go. Functions suspend while the caller does not keep up and throw
 * [CallerLeftException] once it is gone.
 */
interface GenerationSink {
    /** Whether a token reached the caller, after which no other generation may take the place of this one. */
    val delivered: Boolean

    /** Announces that [generation] was sent to [replica]. Called again if the request moved to another replica. */
    suspend fun onAccepted(
        replica: Instance,
        generation: RequestId,
    )

    /** Takes the token at [offset]; offsets rise by one. */
    suspend fun onToken(
        offset: Int,
        text: String,
    )

    /** Drops every token taken so far. Called only while [delivered] is false. */
    fun onRestart()
}
