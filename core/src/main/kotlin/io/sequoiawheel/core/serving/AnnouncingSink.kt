package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.RequestId

/**
 * Announces a resumed generation with its first token, so that an engine that no longer holds it can still be answered
 * with a refusal.
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

    /** Announces a generation that had no token left to send. */
    suspend fun announce() {
        if (announced) return
        announced = true
        target.onAccepted(replica, generation)
    }
}
