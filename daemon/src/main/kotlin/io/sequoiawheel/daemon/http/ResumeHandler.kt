package io.sequoiawheel.daemon.http

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
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
        val text = exchange.call.parameters["handle"].orEmpty()
        val target = targetOf(exchange, text).getOrElse { return Reply.Refusal(it) }
        exchange.document = target.document
        val offset = nextOffset(exchange).getOrElse { return Reply.Refusal(it) }
        val sink = StreamSink({ _, _ -> GenerationHandler.acceptedEvent(exchange, text) }, onFirstToken = {})
        return StreamResponse.run(exchange, sink) {
            runner
                .resume(target.replica, target.handle.generation, offset, target.document, sink)
                .also { GenerationHandler.note(exchange, it) }
        }
    }

    private fun targetOf(
        exchange: Exchange,
        text: String,
    ): Either<Failure, Target> =
        either {
            ensure(documents.isKnown) { Failure(ResultCode.NO_CONFIGURATION) }
            val handle = handles.decode(text, exchange.workspace).bind()
            val document = ensureNotNull(documents.find(handle.service)) { Failure(ResultCode.UNKNOWN_SERVICE) }
            val replica = ensureNotNull(findReplica(handle)) { Failure(ResultCode.RESUME_UNAVAILABLE) }
            Target(handle, document, replica)
        }

    private class Target(
        val handle: ResumeHandle,
        val document: ServiceDocument,
        val replica: Instance,
    )

    private fun nextOffset(exchange: Exchange): Either<Failure, Int> {
        val text = exchange.call.request.headers[LAST_EVENT_HEADER] ?: return 0.right()
        val last = text.toIntOrNull()?.takeIf { it in 0 until Int.MAX_VALUE }
        return last?.plus(1)?.right() ?: RequestReader.invalid("$LAST_EVENT_HEADER must be an offset").left()
    }

    private companion object {
        const val LAST_EVENT_HEADER = "Last-Event-ID"
    }
}
