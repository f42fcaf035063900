package io.sequoiawheel.relay.control

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.StoreEras
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.relay.backend.Connector
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/**
 * A store whose responses are cut after any of their bytes and followed by other ones. The connection is closed behind
 * them, so that a response that remains incomplete fails.
 */
class FilledUpStoreResponseTest {
    /** What follows the response that is cut. */
    enum class Second { SAME, OTHER_STATUS, OTHER_CONTENT, OTHER_VERSION, FIRST_BYTES }

    /** When it follows. */
    private enum class Moment(
        val pauseMillis: Long,
    ) {
        AT_ONCE(0),
        SOON(20),
        LATER(200),
    }

    private enum class Framing { LENGTH, CHUNKS }

    /**
     * A call to the store.
     *
     * @property body the body of the response
     * @property result what the call returns if the response is whole
     * @property otherBody the body of a response to another call
     */
    enum class Call(
        val body: String,
        val result: String,
        val status: String = OK,
        val otherBody: String = body.replace("r-", "s-"),
    ) {
        LISTING(PAGE, "[r-1, r-2] at 7"),
        WATCH(CHANGES, "[r-1, r-2] at 8"),
        WRITE("{}", WRITTEN, otherBody = PAGE),
        REFUSED_WRITE(EXISTS, REFUSED, CONFLICT, otherBody = "{}"),
    }

    private class Response(
        val first: String,
        val second: String,
        val moment: Moment,
    )

    private val clock = Clock { System.nanoTime() / NANOS_PER_MILLI }
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val eventLoop = group.next()
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    @Volatile
    private var response: Response? = null

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                try {
                    server.accept().use(::respond)
                } catch (closed: IOException) {
                    // Expected: the client, or the test, closed the connection.
                }
            }
        }
    }

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully()
    }

    private fun respond(socket: Socket) {
        val response = checkNotNull(response)
        val request = socket.getInputStream().bufferedReader()
        while (!request.readLine().isNullOrEmpty()) continue
        val output = socket.getOutputStream()
        if (response.moment == Moment.AT_ONCE) {
            output.write((response.first + response.second).toByteArray())
        } else {
            output.write(response.first.toByteArray())
            Thread.sleep(response.moment.pauseMillis)
            output.write(response.second.toByteArray())
        }
    }

    private fun storeResponse(
        framing: Framing,
        body: String,
        status: String,
    ): String {
        val head = "$status\r\nStore-Era: 1\r\nContent-Type: application/json\r\n"
        if (framing == Framing.LENGTH) return "${head}Content-Length: ${body.length}\r\n\r\n$body"
        val chunks = body.chunked(CHUNK).joinToString("") { "${it.length.toString(HEX)}\r\n$it\r\n" }
        return "${head}Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n"
    }

    private fun second(
        second: Second,
        call: Call,
        framing: Framing,
    ): String {
        val otherStatus = if (call.status == OK) CONFLICT else OK
        return when (second) {
            Second.SAME -> storeResponse(framing, call.body, call.status)
            Second.OTHER_STATUS -> storeResponse(framing, "{}", otherStatus)
            Second.OTHER_CONTENT -> storeResponse(framing, call.otherBody, call.status)
            Second.OTHER_VERSION -> storeResponse(framing, call.body, call.status.replace("1.1", "1.0"))
            Second.FIRST_BYTES -> storeResponse(framing, call.body, call.status).take(FIRST_BYTES)
        }
    }

    /** Returns the result of [call], or null if the store is not known to have answered it. */
    private fun perform(call: Call): String? =
        runBlocking {
            withContext(eventLoop.asCoroutineDispatcher()) {
                val client =
                    StoreClient(Connector(eventLoop, clock), StoreEras(clock)) { Endpoint(HOST, server.localPort) }
                val result =
                    when (call) {
                        Call.LISTING ->
                            client.list(StoreKind.REPLICAS) { it.name }.map { "${it.objects} at ${it.revision}" }
                        Call.WATCH -> {
                            val names = ArrayList<String>()
                            client
                                .watch(StoreKind.REPLICAS, 7, 0) { names += it.target.name }
                                .map { "$names at ${it.revision}" }
                        }
                        Call.WRITE, Call.REFUSED_WRITE ->
                            client.create(StoreKind.REPLICAS, "r-1", JsonObject(emptyMap())).map { WRITTEN }
                    }
                // The detail of a refusal is text for the log, and may end like a part of a status line.
                result.fold({ failure -> REFUSED.takeIf { failure is StoreFailure.Conflict } }, { it })
            }
        }

    private fun faults(
        second: Second,
        call: Call,
        framing: Framing,
        moment: Moment,
    ): List<String> {
        val whole = storeResponse(framing, call.body, call.status)
        val cuts = if (moment == Moment.AT_ONCE) 1..whole.length else whole.length - LATE_CUTS..whole.length
        return cuts.mapNotNull { end ->
            response = Response(whole.take(end), second(second, call, framing), moment)
            val result = perform(call)
            val isExpected = result == call.result || result == null && end < whole.length
            if (isExpected) null else "$call, $framing, $moment, cut after $end of ${whole.length}: $result"
        }
    }

    @ParameterizedTest
    @EnumSource
    fun `a listing that another response fills up is not applied`(second: Second) {
        val faults =
            Framing.entries.flatMap { framing ->
                Moment.entries.flatMap { faults(second, Call.LISTING, framing, it) }
            }
        assertTrue(faults.isEmpty()) { "${faults.size} listings: ${faults.first()}" }
    }

    // Guards against changes that are applied, or writes that count as refused, after a response to another call.
    @ParameterizedTest
    @EnumSource
    fun `a watch or write that another response fills up has no other result`(second: Second) {
        val faults =
            (Call.entries - Call.LISTING).flatMap { call ->
                Framing.entries.flatMap { framing ->
                    (Moment.entries - Moment.LATER).flatMap { faults(second, call, framing, it) }
                }
            }
        assertTrue(faults.isEmpty()) { "${faults.size} calls: ${faults.first()}" }
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val BACKLOG = 50
        const val NANOS_PER_MILLI = 1_000_000
        const val CHUNK = 64
        const val HEX = 16
        const val FIRST_BYTES = 5
        const val LATE_CUTS = 14
        const val OK = "HTTP/1.1 200 OK"
        const val CONFLICT = "HTTP/1.1 409 Conflict"
        const val WRITTEN = "written"
        const val REFUSED = "refused"
        const val EXISTS = """{"error":"exists"}"""

        fun entry(name: String) =
            """{"meta":{"name":"$name","revision":3,"created":3,"finalizers":[],"deletion_pending":false},""" +
                """"spec":{"svc":"a"},"status":null}"""

        val PAGE = """{"entries":[${entry("r-1")},${entry("r-2")}],"has_more":false,"at":7}"""

        fun change(name: String) = """{"deleted":false,"object":${entry(name)}}"""

        val CHANGES = """{"events":[${change("r-1")},${change("r-2")}],"at":8}"""
    }
}
