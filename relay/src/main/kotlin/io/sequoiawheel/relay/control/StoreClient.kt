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
import io.sequoiawheel.relay.backend.ResponseTooLargeException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import java.io.IOException
import java.util.TreeMap

/** Why a call to the store failed. */
internal sealed interface StoreFailure {
    val detail: String

    /**
     * The store did not respond, or responded that it did nothing. A write without a response may have taken effect.
     */
    data class Unavailable(
        override val detail: String,
    ) : StoreFailure

    /**
     * The watch starts at a revision older than the history that the store keeps, or so old that the response is too
     * large.
     */
    data class HistoryGone(
        override val detail: String,
    ) : StoreFailure

    /** The object already exists or has another revision. */
    data class Conflict(
        override val detail: String,
    ) : StoreFailure
}

/**
 * A complete listing of one kind. A watch from [revision] returns every change that the listing may lack; changes made
 * between two pages may be returned a second time.
 */
internal data class StoreListing(
    val objects: List<StoreObject>,
    val revision: Long,
    val era: Long?,
)

/** How far a listing has been read. */
internal class StoreReading {
    private var page = 0
    private var pageCharacters = 0
    private var entries = 0
    private var lastEntry: String? = null

    fun beginPage(characters: Int) {
        page++
        pageCharacters = characters
    }

    fun endPage(objects: List<StoreObject>) {
        entries += objects.size
        lastEntry = objects.lastOrNull()?.name
    }

    override fun toString() = "page $page of $pageCharacters characters, $entries entries before, last $lastEntry"
}

/**
 * Client of the platform's store, and of instances that serve watches in its place. A connection on which a call failed
 * is closed, since its response may be lost or still in flight. A response from an older era than the newest known one
 * is treated as a failed call. Confined to the event loop.
 *
 * @param eras orders the store's eras; null for other instances, which state the era in the body of their responses
 */
internal class StoreClient(
    private val connector: Connector,
    private val eras: StoreEras? = null,
    private val onNewEra: () -> Unit = {},
    private val endpoint: () -> Endpoint,
) {
    private class IdleConnection(
        val endpoint: Endpoint,
        val connection: BackendConnection,
    )

    private class Response(
        val status: Int,
        val text: String,
        val era: Long?,
    )

    private val idle = ArrayDeque<IdleConnection>()

    private val callsByOperation = TreeMap<String, Long>()

    private val readings = TreeMap<String, StoreReading>()

    /** What is being read from the store at the moment, by kind, for the log of a failure. */
    val reading: Map<String, Any?> get() = readings.mapValues { (_, reading) -> reading.toString() }

    /** Number of calls made so far, by verb and kind of object. */
    val calls: Map<String, Long> get() = callsByOperation

    /** Returns all objects of [kind]. */
    suspend fun list(kind: StoreKind): Either<StoreFailure, StoreListing> {
        val reading = StoreReading()
        readings["list $kind"] = reading
        return listPages(kind, reading).also { readings.remove("list $kind") }
    }

    private suspend fun listPages(
        kind: StoreKind,
        reading: StoreReading,
    ): Either<StoreFailure, StoreListing> {
        val objects = ArrayList<StoreObject>()
        var afterName: String? = null
        var first: StorePage? = null
        var era: Long? = null
        while (true) {
            val path = StoreProtocol.listPath(kind, afterName)
            val response = call("list $kind", HttpMethod.GET, path).fold({ return it.left() }, { it })
            reading.beginPage(response.text.length)
            val result = decode(response.text, StoreProtocol::decodePage).fold({ return it.left() }, { it })
            if (first != null && response.era != era) return StoreFailure.Unavailable("the store era changed").left()
            era = response.era
            // Objects on the first page may change while later pages are read, so the watch starts at the first
            // revision.
            val revision = (first ?: result.also { first = it }).revision
            objects += result.objects
            reading.endPage(result.objects)
            if (!result.hasMore || result.objects.isEmpty()) return StoreListing(objects, revision, era).right()
            val last = result.objects.last().name
            if (last == afterName) return StoreFailure.Unavailable("a page repeats the previous one").left()
            afterName = last
        }
    }

    /** Returns the changes after [revision], waiting up to [waitMillis] for the first one. */
    suspend fun watch(
        kind: StoreKind,
        revision: Long,
        waitMillis: Long,
    ): Either<StoreFailure, StoreChanges> =
        watchAt(StoreProtocol.watchPath(kind, revision, waitMillis), kind, waitMillis)
            .map { (response, changes) -> changes.copy(era = response.era) }

    /** Returns the changes after [revision] from another instance, provided that it has the same [era] of the store. */
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
    ): Either<StoreFailure, Pair<Response, StoreChanges>> =
        call(
            "watch $kind",
            HttpMethod.GET,
            path,
            timeoutMillis = waitMillis + WATCH_GRACE_MILLIS,
            limitBytes = WATCH_LIMIT_BYTES,
        ).flatMap { response -> decode(response.text, StoreProtocol::decodeChanges).map { response to it } }

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

    /** Replaces an object, whatever its current revision. */
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

    /** Replaces the status of an object, or fails with [StoreFailure.Conflict] if [revision] is not its revision. */
    suspend fun replaceStatus(
        kind: StoreKind,
        name: String,
        status: JsonObject,
        revision: Long,
    ): Either<StoreFailure, Unit> =
        call(
            "status $kind",
            HttpMethod.PUT,
            StoreProtocol.statusPath(kind, name),
            StoreProtocol.statusBody(name, status, revision),
        ).map { }

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
        operation: String,
        method: HttpMethod,
        path: String,
        body: String? = null,
        timeoutMillis: Long = CALL_TIMEOUT_MILLIS,
        limitBytes: Int = BackendConnection.BODY_LIMIT_BYTES,
    ): Either<StoreFailure, Response> {
        callsByOperation.merge(operation, 1L, Long::plus)
        val target = endpoint()
        var connection: BackendConnection? = null
        var isResponseComplete = false
        try {
            val response =
                withTimeoutOrNull(timeoutMillis) {
                    val openConnection = connect(target).also { connection = it }
                    openConnection.send(request(target, method, path, body))
                    val head = openConnection.receiveHead(requestId = null)
                    val era = StoreProtocol.decodeEra(head.headers().get(Headers.STORE_ERA))
                    Response(head.status().code(), String(openConnection.receiveBody(limitBytes)), era)
                } ?: return StoreFailure.Unavailable("no response within $timeoutMillis ms").left()
            isResponseComplete = true
            return interpret(response)
        } catch (tooLarge: ResponseTooLargeException) {
            return StoreFailure.HistoryGone(tooLarge.message.orEmpty()).left()
        } catch (failure: IOException) {
            return StoreFailure.Unavailable(failure.message ?: failure.javaClass.simpleName).left()
        } finally {
            connection?.let { if (isResponseComplete) returnToIdle(target, it) else it.abort() }
        }
    }

    private fun interpret(response: Response): Either<StoreFailure, Response> {
        when (eras?.observe(response.era)) {
            EraOrder.OLDER -> return StoreFailure.Unavailable("response from the older era ${response.era}").left()
            EraOrder.NEW -> onNewEra()
            EraOrder.CURRENT, null -> Unit
        }
        return when (response.status) {
            in SUCCESS -> Response(response.status, response.text, eras?.current).right()
            StoreProtocol.HISTORY_EXPIRED -> StoreFailure.HistoryGone("history truncated").left()
            CONFLICT -> StoreFailure.Conflict(response.text.take(MAXIMUM_DETAIL_CHARACTERS)).left()
            else -> StoreFailure.Unavailable("status ${response.status}").left()
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

    private fun returnToIdle(
        target: Endpoint,
        connection: BackendConnection,
    ) {
        if (connection.complete()) idle.addLast(IdleConnection(target, connection))
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
        const val MAXIMUM_DETAIL_CHARACTERS = 200

        /** The store responds within 4 ms, and within 300 ms when it is slow. */
        const val CALL_TIMEOUT_MILLIS = 1_500L

        /** The changes of a response, and its other fields. */
        const val WATCH_LIMIT_BYTES = StoreProtocol.MAXIMUM_CHANGES_BYTES + 4_096

        /** Time that a watch may take beyond its wait before the call is given up as unanswered. */
        const val WATCH_GRACE_MILLIS = 800L

        /**
         * Calls follow one another closely, so a connection that was idle for longer belongs to a loop that has ended.
         */
        const val KEEP_MILLIS = 3_000L
    }
}
