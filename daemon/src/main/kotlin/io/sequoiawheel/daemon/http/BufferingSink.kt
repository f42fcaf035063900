package io.sequoiawheel.daemon.http

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.serving.GenerationSink

/** Buffers the tokens of a generation until it is complete; until then, none counts as delivered. */
internal class BufferingSink(
    private val maximumBytes: Int,
    private val onFirstToken: () -> Unit,
) : GenerationSink {
    private val buffer = StringBuilder()

    override val delivered = false

    /** The text received so far. */
    val text: String get() = buffer.toString()

    override suspend fun onAccepted(
        replica: Instance,
        generation: RequestId,
    ) = Unit

    override suspend fun onToken(
        offset: Int,
        text: String,
    ) {
        if (offset == 0) onFirstToken()
        if (buffer.length + text.length > maximumBytes) throw AnswerTooLargeException()
        buffer.append(text)
    }

    override fun onRestart() = buffer.setLength(0)
}
