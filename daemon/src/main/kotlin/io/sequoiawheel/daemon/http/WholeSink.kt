package io.sequoiawheel.daemon.http

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.serving.GenerationSink

/** Keeps the tokens of one generation until it is complete. Nothing counts as delivered before that. */
internal class WholeSink(
    private val maximumBytes: Int,
    private val onFirstToken: () -> Unit,
) : GenerationSink {
    private val answer = StringBuilder()

    override val delivered = false

    /** The answer so far. */
    val text: String get() = answer.toString()

    override suspend fun onAccepted(
        replica: Instance,
        generation: RequestId,
    ) = Unit

    override suspend fun onToken(
        offset: Int,
        text: String,
    ) {
        if (offset == 0) onFirstToken()
        if (answer.length + text.length > maximumBytes) throw AnswerTooLargeException()
        answer.append(text)
    }

    override fun onRestart() = answer.setLength(0)
}
