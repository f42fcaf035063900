package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.ReceivedRequest
import io.sequoiawheel.standin.platform.ReplicaAnswer
import io.sequoiawheel.standin.platform.ReplicaStandIn
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread

/**
 * An instance as a process of its own with little memory and few descriptors, and a crowd of callers that take as much
 * of both as they are given. The bounds are those that the settings of the instance grant to it.
 */
internal class CallerCrowdTest {
    private val fixture = RelayFixture()
    private lateinit var replica: ReplicaStandIn

    @TempDir
    private lateinit var directory: Path
    private val instance = InstanceProcess(fixture)

    @Volatile
    private var isOver = false

    @AfterEach
    fun close() {
        isOver = true
        instance.close()
        fixture.close()
    }

    private fun start() {
        replica = fixture.replica("b-1") { request, answer -> serve(request, answer) }
        fixture.configure(bodyBytes = CrowdLimits.BODY_BYTES, timeoutMillis = 20_000)
        val limits = """"memory_mb":$MEMORY_MEGABYTES,"max_fds":$MAXIMUM_DESCRIPTORS"""
        instance.start(directory, RelayChildProcess.DEPLOYED_OPTIONS.drop(2) + OPTIONS, limits)
    }

    private fun serve(
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ) {
        replica.requests.clear()
        if (request.target.endsWith("/slow")) Thread.sleep(SLOW_MILLIS)
        answer.sendComplete(request, if (request.target.endsWith("/large")) LARGE_ANSWER else "${request.body.length}")
    }

    /** Returns the status and body of the response to a call with [body], which is sent as it is. */
    private fun call(
        headers: String,
        body: ByteArray,
    ): Pair<String, String> =
        Socket("127.0.0.1", instance.callers).use { socket ->
            socket.soTimeout = ANSWER_MILLIS
            val head =
                "POST /unsafe/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ordinary\r\nX-Deadline-Ms: 20000\r\n" +
                    "Api-Key: key-1\r\nConnection: close\r\n$headers\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray() + body)
            val answer = String(socket.getInputStream().readAllBytes())
            answer.split(' ').getOrElse(1) { "cut" } to answer.substringAfter("\r\n\r\n")
        }

    // An instance ran out of memory, or answered nobody any more, when some tens of callers sent large bodies at once.
    @ParameterizedTest
    @EnumSource
    fun `an instance stays within its memory and descriptors and answers after a crowd`(member: CrowdMember) {
        start()
        val usage = ProcessUsage(instance.pid, instance.callers)
        val sockets = ConcurrentLinkedQueue<Socket>()
        val crowd = List(member.connections) { thread { member.run(instance.callers, { isOver }, sockets) } }
        val end = System.nanoTime() + CROWD_MILLIS * NANOS_PER_MILLI
        while (System.nanoTime() < end) {
            usage.sample()
            Thread.sleep(SAMPLE_MILLIS)
        }
        isOver = true
        crowd.forEach { it.interrupt() }
        val descriptors = usage.descriptors
        sockets.forEach { it.close() }
        crowd.forEach { it.join(JOIN_MILLIS) }
        val isAlive = instance.isAlive
        val answer = runCatching { call("Content-Length: 5", "hello".toByteArray()) }
        usage.sample()
        val errors =
            Files
                .readString(directory.resolve("err"))
                .lines()
                .firstOrNull { "Error" in it }
                .orEmpty()
        println(
            "$member: alive $isAlive, memory ${usage.memoryMegabytes} MB, descriptors $descriptors, " +
                "answer ${answer.getOrNull()?.first ?: answer.exceptionOrNull()}, errors '$errors'",
        )
        assertTrue(isAlive, "the process ended")
        assertEquals("", errors)
        assertTrue(usage.memoryMegabytes <= MEMORY_MEGABYTES, "${usage.memoryMegabytes} MB")
        assertTrue(descriptors <= MAXIMUM_DESCRIPTORS - RESERVED_DESCRIPTORS, "$descriptors descriptors")
        assertEquals("200" to "5", answer.getOrThrow())
    }

    /** A request that reaches a documented limit without exceeding it. */
    enum class LargestRequest(
        val headers: String,
        val body: ByteArray,
    ) {
        WHOLE("Content-Length: ${CrowdLimits.BODY_BYTES}", ByteArray(CrowdLimits.BODY_BYTES) { 'x'.code.toByte() }),
        LARGE_CHUNKS(
            "Transfer-Encoding: chunked",
            "10000\r\n${"x".repeat(0x10000)}\r\n".repeat(CrowdLimits.BODY_BYTES / 0x10000).toByteArray() + LAST_CHUNK,
        ),
        TINY_CHUNKS(
            "Transfer-Encoding: chunked",
            "1\r\nx\r\n".repeat(CrowdLimits.BODY_BYTES).toByteArray() + LAST_CHUNK,
        ),
    }

    // Limits on the memory of a crowd must not refuse a single request that is as large as the configuration allows.
    @ParameterizedTest
    @EnumSource
    fun `a single request of the largest legal size is served`(largest: LargestRequest) {
        start()
        assertEquals("200" to "${CrowdLimits.BODY_BYTES}", call(largest.headers, largest.body))
        val headers = "Content-Length: 0\r\nX-Large: ${"x".repeat(CrowdLimits.HEADER_BYTES - HEAD_MARGIN_BYTES)}"
        assertEquals("200" to "0", call(headers, ByteArray(0)))
        val lines = "Content-Length: 0\r\n" + "X-A: b\r\n".repeat((CrowdLimits.HEADER_BYTES - HEAD_MARGIN_BYTES) / 8)
        assertEquals("200" to "0", call(lines.removeSuffix("\r\n"), ByteArray(0)))
    }

    private companion object {
        /** Memory that the settings grant; the heap of the process is 40 MB of it. */
        const val MEMORY_MEGABYTES = 200
        const val MAXIMUM_DESCRIPTORS = 400

        /** An instance that has met an OutOfMemoryError may lack a part that it needs, so that it counts as ended. */
        val OPTIONS =
            listOf("-Xmx40m", "-Xms24m", "-XX:ReservedCodeCacheSize=24m", "-XX:+ExitOnOutOfMemoryError")

        /** Descriptors of the limit that the platform keeps for itself. */
        const val RESERVED_DESCRIPTORS = 200
        const val CROWD_MILLIS = 5_000L
        const val SAMPLE_MILLIS = 50L
        const val JOIN_MILLIS = 1_000L
        const val SLOW_MILLIS = 1_000L
        const val ANSWER_MILLIS = 30_000
        const val NANOS_PER_MILLI = 1_000_000L
        const val HEAD_MARGIN_BYTES = 512
        val LAST_CHUNK = "0\r\n\r\n".toByteArray()
        val LARGE_ANSWER = "x".repeat(CrowdLimits.BODY_BYTES)
    }
}
