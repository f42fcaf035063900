package io.sequoiawheel.relay.serving

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.GenerationDemand
import io.sequoiawheel.core.relay.RelayService
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.platform.EngineProtocol
import io.sequoiawheel.platform.RunCopy
import io.sequoiawheel.platform.UnreadableDocumentException
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** A copy of a running generation's memory at [destination]. */
internal class RunCopyAt(
    val destination: Replica,
    val copy: RunCopy,
)

/** How a call to copy a run ended. */
internal sealed interface CopyResult {
    class Copied(
        val copy: RunCopyAt,
    ) : CopyResult

    /** The replica does not run it, at least not yet. */
    class NoSuchRun(
        val detail: String,
    ) : CopyResult

    class Refused(
        val detail: String,
    ) : CopyResult
}

/** Asks replicas to copy running generations to other replicas. Confined to the event loop. */
internal class RunCopier(
    private val context: RelayContext,
) {
    /** Returns the replica that is to keep a copy of a run at [source] while it grows, or null if none has room. */
    fun chooseBackup(
        source: Replica,
        excluded: Set<Replica>,
        service: RelayService,
        demand: GenerationDemand,
    ): Replica? {
        val engine = service.engine?.takeIf { it.supportsBackup } ?: return null
        val candidates = context.candidates(service, excluded + source)
        return context.selection.forCopy(candidates, demand, engine, source.entry.zone, isUrgent = false)
    }

    /** Returns the copy that [backup] keeps of the run of [requestId]. */
    fun backup(
        backup: Replica,
        requestId: String,
    ) = RunCopyAt(backup, EngineProtocol.backupCopy(endpoint(backup), requestId))

    /**
     * Copies the run of [requestId] off the leaving replica that [attempt] runs at. A replica without room says so at
     * once, so the next one is asked without a pause; once all were asked, or while the run has not begun, it is tried
     * again later.
     */
    suspend fun copyAway(
        requestId: String,
        attempt: GenerationAttempt,
        excluded: Set<Replica>,
        service: RelayService,
        demand: GenerationDemand,
    ): CopyResult {
        val engine = service.engine ?: return CopyResult.Refused("${service.name} is no engine")
        val source = attempt.replica
        var result: CopyResult = CopyResult.Refused("no replica has room for a copy")
        val full = HashSet<Replica>()
        repeat(COPY_ATTEMPTS) {
            val candidates = context.candidates(service, excluded + source + full)
            val destination =
                context.selection.forCopy(candidates, demand, engine, source.entry.zone, isUrgent = true)
                    ?: context.selection.forGeneration(candidates, demand, engine)
            if (destination != null) result = copyTwice(requestId, source, destination)
            if (result is CopyResult.Copied || attempt.isOver) return result
            if (destination != null && result is CopyResult.Refused) {
                full += destination
            } else {
                full.clear()
                delay(COPY_PAUSE_MILLIS)
            }
        }
        return result
    }

    /**
     * Copies a run, and once more what it made meanwhile if the first copy took long, so that little is read anew. The
     * second copy is left out when the source may be gone before it ends.
     */
    private suspend fun copyTwice(
        requestId: String,
        source: Replica,
        destination: Replica,
    ): CopyResult {
        if (source.isPaused) return CopyResult.Refused("$source asked for quiet")
        val startedMillis = context.clock.nowMillis()
        val first = copy(requestId, source, destination)
        val firstMillis = context.clock.nowMillis() - startedMillis
        context.log.request(
            "run copied",
            mapOf(
                "request" to requestId,
                "source" to source.toString(),
                "destination" to destination.toString(),
                "milliseconds" to firstMillis,
                "outcome" to first.javaClass.simpleName,
            ),
        )
        val noticeMillis = source.leavingSinceMillis?.let { context.clock.nowMillis() - it } ?: 0
        val isWorthwhile = firstMillis > SECOND_COPY_FROM_MILLIS && noticeMillis < SECOND_COPY_UNTIL_MILLIS
        if (first !is CopyResult.Copied || !isWorthwhile) return first
        val second = withTimeoutOrNull(SECOND_COPY_LIMIT_MILLIS) { copy(requestId, source, destination) }
        return second as? CopyResult.Copied ?: first
    }

    /** Copies the run of [requestId] from [source] to [destination] while it goes on. */
    private suspend fun copy(
        requestId: String,
        source: Replica,
        destination: Replica,
    ): CopyResult {
        val body = EngineProtocol.copyRunBody(requestId, endpoint(destination), stop = false)
        val (status, text) =
            withTimeoutOrNull(COPY_TIMEOUT_MILLIS) { call(source, HttpMethod.POST, EngineProtocol.COPY_RUN_PATH, body) }
                ?: return CopyResult.Refused("no response within $COPY_TIMEOUT_MILLIS ms")
        return when (status) {
            OK -> decode(source, destination, text)
            NOT_FOUND -> CopyResult.NoSuchRun("$source does not run it")
            else -> CopyResult.Refused("$source answered $status")
        }
    }

    private fun decode(
        source: Replica,
        destination: Replica,
        text: String,
    ): CopyResult =
        try {
            EngineProtocol
                .decodeCopy(endpoint(source), text)
                ?.let { CopyResult.Copied(RunCopyAt(destination, it)) }
                ?: CopyResult.Refused("the response names no copy")
        } catch (unreadable: UnreadableDocumentException) {
            CopyResult.Refused("unreadable response: ${unreadable.message}")
        }

    private suspend fun call(
        replica: Replica,
        method: HttpMethod,
        path: String,
        body: String?,
    ): Pair<Int, String> =
        try {
            val content = Unpooled.wrappedBuffer(body.orEmpty().toByteArray())
            val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, content)
            request.headers().set(HttpHeaderNames.HOST, replica.entry.address)
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
            if (body != null) request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            context.pool.use(replica, mustBeRecent = true) { lease ->
                lease.connection.send(request)
                val head = lease.connection.receiveHead(requestId = null)
                val text = String(lease.connection.receiveBody())
                lease.complete()
                head.status().code() to text
            }
        } catch (failure: IOException) {
            UNREACHABLE to failure.message.orEmpty()
        }

    private fun endpoint(replica: Replica) = Endpoint(replica.entry.host, replica.entry.port)

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404

        /** Stands for a call that got no response. */
        const val UNREACHABLE = 0

        /** A leaving replica is gone about two seconds after its notice. */
        const val COPY_TIMEOUT_MILLIS = 2_500L

        /** A run makes about eight tokens in this time, which is cheaper to read anew than to copy. */
        const val SECOND_COPY_FROM_MILLIS = 60L

        /** A replica is gone 1.5 s after its notice at the earliest. */
        const val SECOND_COPY_UNTIL_MILLIS = 1_200L

        /** Copying a second's tokens takes 20 ms on a free link. */
        const val SECOND_COPY_LIMIT_MILLIS = 150L

        /** Attempts to copy a run, as often as fits into the time that a leaving replica has. */
        const val COPY_ATTEMPTS = 30
        const val COPY_PAUSE_MILLIS = 120L
    }
}
