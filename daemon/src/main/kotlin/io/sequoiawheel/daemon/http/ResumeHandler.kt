package io.sequoiawheel.daemon.http

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.serving.GenerationRunner
import io.sequoiawheel.core.stream.ResumeHandle
import io.sequoiawheel.core.stream.ResumeHandleCodec

/**
 * Continues generations that any entry instance started.
 *
 * @param findReplica looks a replica up in the current instance list, leaving ones included
 */
internal class ResumeHandler(
    private val runner: GenerationRunner,
    private val handles: ResumeHandleCodec,
    private val documents: Documents,
    private val findReplica: (ResumeHandle) -> Instance?,
) {
    suspend fun handle(exchange: Exchange): Reply {
        if (!documents.isKnown) return Reply.Refusal(Failure(ResultCode.NO_CONFIGURATION))
        val text = exchange.call.parameters["handle"].orEmpty()
        val handle = handles.decode(text, exchange.workspace).getOrElse { return Reply.Refusal(it) }
        val document =
            documents.find(handle.service) ?: return Reply.Refusal(Failure(ResultCode.UNKNOWN_SERVICE))
        exchange.document = document
        val replica = findReplica(handle) ?: return Reply.Refusal(Failure(ResultCode.RESUME_UNAVAILABLE))
        val offset = nextOffset(exchange).getOrElse { return Reply.Refusal(it) }
        val sink = StreamSink({ _, _ -> GenerationHandler.acceptedEvent(exchange, text) }, onFirstToken = {})
        return StreamResponse.run(exchange, sink) {
            runner
                .resume(replica, handle.generation, offset, document, sink)
                .also { GenerationHandler.note(exchange, it) }
        }
    }

    private fun nextOffset(exchange: Exchange): Either<Failure, Int> {
        val text = exchange.call.request.headers[LAST_EVENT_HEADER] ?: return 0.right()
        val last = text.toIntOrNull()?.takeIf { it in 0 until Int.MAX_VALUE }
        return last?.plus(1)?.right() ?: RequestReader.invalid("$LAST_EVENT_HEADER must be an offset").left()
    }

    private companion object {
        const val LAST_EVENT_HEADER = "Last-Event-ID"
    }
}
