package io.sequoiawheel.relay.control

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.EraOrder
import io.sequoiawheel.core.relay.StoreEras
import io.sequoiawheel.platform.Headers
import io.sequoiawheel.platform.StoreChanges
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.platform.StoreObject
import io.sequoiawheel.platform.StorePage
import io.sequoiawheel.platform.StoreProtocol
import io.sequoiawheel.platform.UnreadableDocumentException
import io.sequoiawheel.relay.backend.BackendConnection
import io.sequoiawheel.relay.backend.Connector
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonElement
import java.io.IOException
import java.util.TreeMap

/** Why a call to the store failed. */
internal sealed interface StoreFailure {
    val detail: String

    /** The store did not answer, or answered that it did nothing. A write without an answer may have taken effect. */
    data class Unavailable(
        override val detail: String,
    ) : StoreFailure

    /** The watch starts before the store's history. */
    data class HistoryGone(
        override val detail: String,
    ) : StoreFailure

    /** The object exists already or has another revision. */
    data class Conflict(
        override val detail: String,
    ) : StoreFailure
}

/**
 * A whole listing of one kind. A watch from [revision] brings every change that the listing may lack; changes made
 * between two pages may come a second time.
 */
internal data class StoreListing(
    val objects: List<StoreObject>,
    val revision: Long,
    val era: Long?,
)

/**
 * The client of the platform's store, and of instances that answer watches in its place. A connection on which a call
 * failed is closed, since its response may be lost. An answer of an older era than the newest one counts as none.
 * Confined to the event loop.
 *
 * @param eras orders the store's eras; null for instances, which name the era in the body of their answers
 */
internal class StoreClient(
    private val connector: Connector,
    private val eras: StoreEras? = null,
    private val onNewEra: () -> Unit = {},
    private val endpoint: () -> Endpoint,
) {
    private class Idle(
        val endpoint: Endpoint,
        val connection: BackendConnection,
    )

    private class Answer(
        val status: Int,
        val text: String,
        val era: Long?,
    )

    private val idle = ArrayDeque<Idle>()

    private val callsByCause = TreeMap<String, Long>()

    /** Calls made so far, by the verb and the kind of object. */
    val calls: Map<String, Long> get() = callsByCause

    /** Returns all objects of [kind]. */
    suspend fun list(kind: StoreKind): Either<StoreFailure, StoreListing> {
        val objects = ArrayList<StoreObject>()
        var afterName: String? = null
        var first: StorePage? = null
        var era: Long? = null
        while (true) {
            val path = StoreProtocol.listPath(kind, afterName)
            val answer = call("list $kind", HttpMethod.GET, path).fold({ return it.left() }, { it })
            val result = decode(answer.text, StoreProtocol::decodePage).fold({ return it.left() }, { it })
            if (first != null && answer.era != era) return StoreFailure.Unavailable("the era changed").left()
            era = answer.era
            // Names on the first page may change while later pages are read.
            val revision = (first ?: result.also { first = it }).revision
            objects += result.objects
            if (!result.hasMore || result.objects.isEmpty()) return StoreListing(objects, revision, era).right()
            afterName = result.objects.last().name
        }
    }

    /** Returns what changed after [revision], waiting up to [waitMillis] for the first change. */
    suspend fun watch(
        kind: StoreKind,
        revision: Long,
        waitMillis: Long,
    ): Either<StoreFailure, StoreChanges> =
        watchAt(StoreProtocol.watchPath(kind, revision, waitMillis), kind, waitMillis)
            .map { (answer, changes) -> changes.copy(era = answer.era) }

    /** Returns what another instance knows after [revision], if it knows the same [era] of the store. */
    suspend fun watchPeer(
        kind: StoreKind,
        revision: Long,
        waitMillis: Long,
        era: Long?,
    ): Either<StoreFailure, StoreChanges> =
        watchAt(StoreProtocol.peerWatchPath(kind, revision, waitMillis, era), kind, waitMillis).map { it.second }

    private suspend fun watchAt(
        path: String,
        kind: StoreKind,
        waitMillis: Long,
    ): Either<StoreFailure, Pair<Answer, StoreChanges>> =
        call("watch $kind", HttpMethod.GET, path, timeoutMillis = waitMillis + WATCH_SLACK_MILLIS)
            .flatMap { answer -> decode(answer.text, StoreProtocol::decodeChanges).map { answer to it } }

    /** Creates an object, or fails with [StoreFailure.Conflict] if it exists. */
    suspend fun create(
        kind: StoreKind,
        name: String,
        spec: JsonElement,
    ): Either<StoreFailure, Unit> =
        call(
            "create $kind",
            HttpMethod.POST,
            StoreProtocol.listPath(kind, null),
            StoreProtocol.objectBody(name, spec),
        ).map { }

    /** Replaces an object whatever its revision. */
    suspend fun replace(
        kind: StoreKind,
        name: String,
        spec: JsonElement,
    ): Either<StoreFailure, Unit> =
        call(
            "replace $kind",
            HttpMethod.PUT,
            StoreProtocol.objectPath(kind, name),
            StoreProtocol.objectBody(name, spec),
        ).map {
        }

    /** Removes an object. */
    suspend fun delete(
        kind: StoreKind,
        name: String,
    ): Either<StoreFailure, Unit> =
        call("delete $kind", HttpMethod.DELETE, StoreProtocol.objectPath(kind, name)).map { }

    private fun <T> decode(
        text: String,
        decoder: (String) -> T,
    ): Either<StoreFailure, T> =
        try {
            decoder(text).right()
        } catch (unreadable: UnreadableDocumentException) {
            StoreFailure.Unavailable("unreadable response: ${unreadable.message}").left()
        }

    private suspend fun call(
        cause: String,
        method: HttpMethod,
        path: String,
        body: String? = null,
        timeoutMillis: Long = CALL_TIMEOUT_MILLIS,
    ): Either<StoreFailure, Answer> {
        callsByCause.merge(cause, 1L, Long::plus)
        val target = endpoint()
        var connection: BackendConnection? = null
        var isComplete = false
        try {
            val answer =
                withTimeoutOrNull(timeoutMillis) {
                    val opened = connect(target).also { connection = it }
                    opened.send(request(target, method, path, body))
                    val head = opened.receiveHead(requestId = null)
                    val era = StoreProtocol.decodeEra(head.headers().get(Headers.STORE_ERA))
                    Answer(head.status().code(), String(opened.receiveBody()), era)
                } ?: return StoreFailure.Unavailable("no response within $timeoutMillis ms").left()
            isComplete = true
            return interpret(answer)
        } catch (failure: IOException) {
            return StoreFailure.Unavailable(failure.message ?: failure.javaClass.simpleName).left()
        } finally {
            connection?.let { if (isComplete) keep(target, it) else it.abort() }
        }
    }

    private fun interpret(answer: Answer): Either<StoreFailure, Answer> {
        when (eras?.observe(answer.era)) {
            EraOrder.OLDER -> return StoreFailure.Unavailable("an answer of the older era ${answer.era}").left()
            EraOrder.NEW -> onNewEra()
            EraOrder.CURRENT, null -> Unit
        }
        return when (answer.status) {
            in SUCCESS -> Answer(answer.status, answer.text, eras?.current).right()
            StoreProtocol.HISTORY_EXPIRED -> StoreFailure.HistoryGone("history is gone").left()
            CONFLICT -> StoreFailure.Conflict(answer.text.take(DETAIL_CHARACTERS)).left()
            else -> StoreFailure.Unavailable("status ${answer.status}").left()
        }
    }

    private suspend fun connect(target: Endpoint): BackendConnection {
        while (idle.isNotEmpty()) {
            val kept = idle.removeLast()
            val connection = kept.connection
            if (kept.endpoint == target && connection.isOpen && connection.idleMillis < KEEP_MILLIS) return connection
            connection.close()
        }
        return connector.connect(target)
    }

    private fun keep(
        target: Endpoint,
        connection: BackendConnection,
    ) {
        if (connection.complete()) idle.addLast(Idle(target, connection))
    }

    private fun request(
        target: Endpoint,
        method: HttpMethod,
        path: String,
        body: String?,
    ): DefaultFullHttpRequest {
        val content = Unpooled.wrappedBuffer(body.orEmpty().toByteArray())
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, content)
        request.headers().set(HttpHeaderNames.HOST, target.toString())
        if (body != null) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        }
        return request
    }

    private companion object {
        val SUCCESS = 200..299
        const val CONFLICT = 409
        const val DETAIL_CHARACTERS = 200

        /** The store answers in 4 ms and, when slow, in a fraction of a second. */
        const val CALL_TIMEOUT_MILLIS = 1_500L

        /** What a watch may take beyond its wait before its connection counts as silent. */
        const val WATCH_SLACK_MILLIS = 800L

        /** Calls follow one another closely, so an older connection belongs to a loop that has ended. */
        const val KEEP_MILLIS = 3_000L
    }
}
