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
 * Handles requests to resume a generation, whichever entry instance started it.
 *
 * @param findReplica looks up a replica, including leaving ones, in the current instance list
 */
internal class ResumeHandler(
    private val runner: GenerationRunner,
    private val handles: ResumeHandleCodec,
    private val documents: Documents,
    private val findReplica: (ResumeHandle) -> Instance?,
) {
    suspend fun handle(exchange: Exchange): Reply {
        val text = exchange.call.parameters["handle"].orEmpty()
        val target = findTarget(exchange, text).getOrElse { return Reply.Refusal(it) }
        exchange.document = target.document
        val offset = readNextOffset(exchange).getOrElse { return Reply.Refusal(it) }
        val sink = StreamSink({ _, _ -> GenerationHandler.acceptedEvent(exchange, text) }, onFirstToken = {})
        return StreamResponse.run(exchange, sink) {
            runner
                .resume(target.replica, target.handle.generation, offset, target.document, sink)
                .also { GenerationHandler.recordOutcome(exchange, it) }
        }
    }

    private fun findTarget(
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

    private fun readNextOffset(exchange: Exchange): Either<Failure, Int> {
        val header = exchange.call.request.headers[LAST_EVENT_HEADER] ?: return 0.right()
        val last = header.toIntOrNull()?.takeIf { it in 0 until Int.MAX_VALUE }
        return last?.plus(1)?.right()
            ?: RequestReader.invalidRequest("$LAST_EVENT_HEADER must be a token offset").left()
    }

    private companion object {
        const val LAST_EVENT_HEADER = "Last-Event-ID"
    }
}
