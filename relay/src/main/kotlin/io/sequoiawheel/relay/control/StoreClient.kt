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
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.EraOrder
import io.sequoiawheel.core.relay.StoreEras
import io.sequoiawheel.platform.Headers
import io.sequoiawheel.platform.StoreBodyReader
import io.sequoiawheel.platform.StoreChangesEnd
import io.sequoiawheel.platform.StoreEvent
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.platform.StoreObject
import io.sequoiawheel.platform.StorePageEnd
import io.sequoiawheel.platform.StoreProtocol
import io.sequoiawheel.platform.UnreadableDocumentException
import io.sequoiawheel.relay.backend.BackendConnection
import io.sequoiawheel.relay.backend.Connector
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
     * The watch starts at a revision older than the history that the store keeps, or so old that a listing is smaller
     * than the response.
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
 *
 * @property objects what is kept of the objects
 */
internal data class StoreListing<out T>(
    val objects: List<T>,
    val revision: Long,
    val era: Long?,
)

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

    private val idle = ArrayDeque<IdleConnection>()

    private val callsByOperation = TreeMap<String, Long>()

    private val readings = TreeMap<String, StoreReading>()

    /** What is being read from the store at the moment, by operation and kind, for the log of a failure. */
    val reading: Map<String, Any?> get() = readings.mapValues { (_, reading) -> reading.toString() }

    /** Number of calls made so far, by verb and kind of object. */
    val calls: Map<String, Long> get() = callsByOperation

    /** Returns what [decode] keeps of the objects of [kind]. Each object is decoded before the next one is read. */
    suspend fun <T : Any> list(
        kind: StoreKind,
        reading: StoreReading = StoreReading(),
        decode: (StoreObject) -> T?,
    ): Either<StoreFailure, StoreListing<T>> {
        val operation = "list $kind"
        readings[operation] = reading
        // The entry remains after an exception, for the log of the failure.
        return listPages(operation, kind, reading, decode).also { readings.remove(operation) }
    }

    private suspend fun <T : Any> listPages(
        operation: String,
        kind: StoreKind,
        reading: StoreReading,
        decode: (StoreObject) -> T?,
    ): Either<StoreFailure, StoreListing<T>> {
        val kept = ArrayList<T>()
        var afterName: String? = null
        var first: StorePageEnd? = null
        var era: Long? = null
        while (true) {
            reading.beginPage()
            val reader =
                StoreProtocol.pageReader(kind, { target ->
                    reading.recordEntry(target.name)
                    decode(target)?.let { kept += it }
                }, reading::recordNameless)
            val (page, pageEra) =
                read(operation, StoreProtocol.listPath(kind, afterName), reader, reading)
                    .fold({ return it.left() }, { it })
            if (first != null && pageEra != era) return StoreFailure.Unavailable("the store era changed").left()
            era = pageEra
            // Objects on the first page may change while later pages are read, so the watch starts at the first
            // revision.
            val revision = (first ?: page.also { first = it }).revision
            val nextAfter = page.nextAfter ?: return StoreListing(kept, revision, era).right()
            if (nextAfter == afterName) return StoreFailure.Unavailable("a page repeats the previous one").left()
            afterName = nextAfter
        }
    }

    /**
     * Passes the changes after [revision] to [onEvent], waiting up to [waitMillis] for the first one. They count only
     * if the call succeeds. A [TooManyChangesException] of [onEvent] ends it as [StoreFailure.HistoryGone].
     */
    suspend fun watch(
        kind: StoreKind,
        revision: Long,
        waitMillis: Long,
        onEvent: (StoreEvent) -> Unit,
    ): Either<StoreFailure, StoreChangesEnd> =
        watchAt(StoreProtocol.watchPath(kind, revision, waitMillis), kind, waitMillis, onEvent)
            .map { (changes, era) -> changes.copy(era = era) }

    /**
     * Passes the changes after [revision] from another instance to [onEvent], provided that it has the same [era] of
     * the store.
     */
    suspend fun watchPeer(
        kind: StoreKind,
        revision: Long,
        waitMillis: Long,
        era: Long?,
        onEvent: (StoreEvent) -> Unit,
    ): Either<StoreFailure, StoreChangesEnd> =
        watchAt(StoreProtocol.peerWatchPath(kind, revision, waitMillis, era), kind, waitMillis, onEvent)
            .map { (changes, _) -> changes }

    private suspend fun watchAt(
        path: String,
        kind: StoreKind,
        waitMillis: Long,
        onEvent: (StoreEvent) -> Unit,
    ): Either<StoreFailure, Pair<StoreChangesEnd, Long?>> {
        val operation = "watch $kind"
        val reading = StoreReading().also { it.beginPage() }
        val reader =
            StoreProtocol.changesReader(kind, { event ->
                readings[operation] = reading
                reading.recordEntry(event.target.name)
                onEvent(event)
            }, reading::recordNameless)
        return read(operation, path, reader, reading, waitMillis + WATCH_GRACE_MILLIS)
            .also { readings.remove(operation) }
    }

    /** Creates an object, or fails with [StoreFailure.Conflict] if it exists. */
    suspend fun create(
        kind: StoreKind,
        name: String,
        spec: JsonElement,
    ): Either<StoreFailure, Unit> =
        write(
            "create $kind",
            HttpMethod.POST,
            StoreProtocol.listPath(kind, null),
            StoreProtocol.objectBody(name, spec),
        )

    /** Replaces an object, whatever its current revision. */
    suspend fun replace(
        kind: StoreKind,
        name: String,
        spec: JsonElement,
    ): Either<StoreFailure, Unit> =
        write(
            "replace $kind",
            HttpMethod.PUT,
            StoreProtocol.objectPath(kind, name),
            StoreProtocol.objectBody(name, spec),
        )

    /** Replaces the status of an object, or fails with [StoreFailure.Conflict] if [revision] is not its revision. */
    suspend fun replaceStatus(
        kind: StoreKind,
        name: String,
        status: JsonObject,
        revision: Long,
    ): Either<StoreFailure, Unit> =
        write(
            "status $kind",
            HttpMethod.PUT,
            StoreProtocol.statusPath(kind, name),
            StoreProtocol.statusBody(name, status, revision),
        )

    /** Removes an object. */
    suspend fun delete(
        kind: StoreKind,
        name: String,
    ): Either<StoreFailure, Unit> =
        write("delete $kind", HttpMethod.DELETE, StoreProtocol.objectPath(kind, name), body = null)

    /** Sends a read call. [reader] reads the response while it is received. Returns its result and the store's era. */
    private suspend fun <T> read(
        operation: String,
        path: String,
        reader: StoreBodyReader<T>,
        reading: StoreReading,
        timeoutMillis: Long = CALL_TIMEOUT_MILLIS,
    ): Either<StoreFailure, Pair<T, Long?>> =
        call(operation, HttpMethod.GET, path, null, timeoutMillis, StreamedBody(reader, reading))
            .flatMap { era ->
                try {
                    (reader.end() to era).right()
                } catch (failure: UnreadableDocumentException) {
                    unreadable(failure).left()
                }
            }

    private suspend fun write(
        operation: String,
        method: HttpMethod,
        path: String,
        body: String?,
    ): Either<StoreFailure, Unit> = call(operation, method, path, body, CALL_TIMEOUT_MILLIS, body = null).map { }

    /**
     * Sends a request and passes the body of a successful response to [body], if it is not null. Returns the era of the
     * store. The time allowed applies to the head and the first part of the body, and to each further part.
     */
    private suspend fun call(
        operation: String,
        method: HttpMethod,
        path: String,
        requestBody: String?,
        timeoutMillis: Long,
        body: StreamedBody?,
    ): Either<StoreFailure, Long?> {
        callsByOperation.merge(operation, 1L, Long::plus)
        val target = endpoint()
        var connection: BackendConnection? = null
        var isComplete = false
        var text = ""
        try {
            val head =
                withTimeoutOrNull(timeoutMillis) {
                    val openConnection = connect(target).also { connection = it }
                    openConnection.send(request(target, method, path, requestBody))
                    val head = openConnection.receiveHead(requestId = null)
                    if (body != null && head.status().code() in SUCCESS) {
                        isComplete = body.receivePart(openConnection)
                    } else {
                        text = String(openConnection.receiveBody())
                        isComplete = true
                    }
                    head
                } ?: return unanswered(timeoutMillis)
            while (!isComplete) {
                isComplete = withTimeoutOrNull(timeoutMillis) { body?.receivePart(checkNotNull(connection)) }
                    ?: return unanswered(timeoutMillis)
            }
            return interpret(head, text)
        } catch (failure: UnreadableDocumentException) {
            return unreadable(failure).left()
        } catch (tooMany: TooManyChangesException) {
            return StoreFailure.HistoryGone(tooMany.message.orEmpty()).left()
        } catch (failure: IOException) {
            return StoreFailure.Unavailable(failure.message ?: failure.javaClass.simpleName).left()
        } finally {
            connection?.let { if (isComplete) returnToIdle(target, it) else it.abort() }
        }
    }

    private fun unanswered(timeoutMillis: Long) =
        StoreFailure.Unavailable("no response within $timeoutMillis ms").left()

    private fun unreadable(failure: UnreadableDocumentException) =
        StoreFailure.Unavailable("unreadable response: ${failure.message}")

    private fun interpret(
        head: HttpResponse,
        text: String,
    ): Either<StoreFailure, Long?> {
        val era = StoreProtocol.decodeEra(head.headers().get(Headers.STORE_ERA))
        when (eras?.observe(era)) {
            EraOrder.OLDER -> return StoreFailure.Unavailable("response from the older era $era").left()
            EraOrder.NEW -> onNewEra()
            EraOrder.CURRENT, null -> Unit
        }
        val status = head.status().code()
        return when (status) {
            in SUCCESS -> eras?.current.right()
            StoreProtocol.HISTORY_EXPIRED -> StoreFailure.HistoryGone("history truncated").left()
            CONFLICT -> StoreFailure.Conflict(text.take(MAXIMUM_DETAIL_CHARACTERS)).left()
            else -> StoreFailure.Unavailable("status $status").left()
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

        /** Time that a watch may take beyond its wait before the call is given up as unanswered. */
        const val WATCH_GRACE_MILLIS = 800L

        /**
         * Calls follow one another closely, so a connection that was idle for longer belongs to a loop that has ended.
         */
        const val KEEP_MILLIS = 3_000L
    }
}
