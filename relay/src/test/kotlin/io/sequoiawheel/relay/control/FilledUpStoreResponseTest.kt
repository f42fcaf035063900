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
        status: String = "HTTP/1.1 200 OK",
    ): String {
        val head = "$status\r\nStore-Era: 1\r\nContent-Type: application/json\r\n"
        if (framing == Framing.LENGTH) return "${head}Content-Length: ${body.length}\r\n\r\n$body"
        val chunks = body.chunked(CHUNK).joinToString("") { "${it.length.toString(HEX)}\r\n$it\r\n" }
        return "${head}Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n"
    }

    private fun second(
        second: Second,
        framing: Framing,
    ): String =
        when (second) {
            Second.SAME -> storeResponse(framing, PAGE)
            Second.OTHER_STATUS -> storeResponse(framing, "{}", "HTTP/1.1 410 Gone")
            Second.OTHER_CONTENT -> storeResponse(framing, PAGE.replace("r-", "s-"))
            Second.OTHER_VERSION -> storeResponse(framing, PAGE, "HTTP/1.0 200 OK")
            Second.FIRST_BYTES -> storeResponse(framing, PAGE).take(FIRST_BYTES)
        }

    /** Returns the names that were listed with the revision, or null if the listing failed. */
    private fun list(): String? =
        runBlocking {
            withContext(eventLoop.asCoroutineDispatcher()) {
                val client =
                    StoreClient(Connector(eventLoop, clock), StoreEras(clock)) { Endpoint(HOST, server.localPort) }
                client.list(StoreKind.REPLICAS) { it.name }.fold({ null }, { "${it.objects} at ${it.revision}" })
            }
        }

    private fun faults(
        second: Second,
        framing: Framing,
        moment: Moment,
    ): List<String> {
        val whole = storeResponse(framing, PAGE)
        val cuts = if (moment == Moment.AT_ONCE) 1..whole.length else whole.length - LATE_CUTS..whole.length
        return cuts.mapNotNull { end ->
            response = Response(whole.take(end), second(second, framing), moment)
            val listed = list()
            val isExpected = listed == WHOLE || listed == null && end < whole.length
            if (isExpected) null else "$framing, $moment, cut after $end of ${whole.length}: $listed"
        }
    }

    @ParameterizedTest
    @EnumSource
    fun `a listing that another response fills up is not applied`(second: Second) {
        val faults = Framing.entries.flatMap { framing -> Moment.entries.flatMap { faults(second, framing, it) } }
        assertTrue(faults.isEmpty()) { "${faults.size} listings: ${faults.first()}" }
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val BACKLOG = 50
        const val NANOS_PER_MILLI = 1_000_000
        const val CHUNK = 64
        const val HEX = 16
        const val FIRST_BYTES = 5
        const val LATE_CUTS = 14
        const val WHOLE = "[r-1, r-2] at 7"

        fun entry(name: String) =
            """{"meta":{"name":"$name","revision":3,"created":3,"finalizers":[],"deletion_pending":false},""" +
                """"spec":{"svc":"a"},"status":null}"""

        val PAGE = """{"entries":[${entry("r-1")},${entry("r-2")}],"has_more":false,"at":7}"""
    }
}
