package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.RequestId

/**
 * Delays the announcement of a resumed generation until its first token, so that the caller can still receive an error
 * if the engine no longer has the generation.
 */
internal class AnnouncingSink(
    private val replica: Instance,
    private val generation: RequestId,
    private val target: GenerationSink,
) : GenerationSink by target {
    private var announced = false

    override suspend fun onToken(
        offset: Int,
        text: String,
    ) {
        announce()
        target.onToken(offset, text)
    }

    /** Announces the generation if that has not happened yet, even if no token was left to send. */
    suspend fun announce() {
        if (announced) return
        announced = true
        target.onAccepted(replica, generation)
    }
}
