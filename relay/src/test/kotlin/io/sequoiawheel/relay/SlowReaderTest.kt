package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.ReceivedRequest
import io.sequoiawheel.standin.platform.ReplicaAnswer
import io.sequoiawheel.standin.platform.ReplicaStandIn
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import kotlin.concurrent.thread

/**
 * An instance with a small heap, and callers that do not read their responses. The process must live within the memory
 * that its settings grant and its descriptors, and must answer an ordinary caller afterwards, while the crowd is still
 * connected.
 */
class SlowReaderTest {
    private val fixture = RelayFixture()
    private val crowd = ArrayList<Socket>()
    private val instance = InstanceProcess(fixture)

    @TempDir
    private lateinit var directory: Path
    private lateinit var engine: ReplicaStandIn

    @Volatile
    private var isOver = false

    @AfterEach
    fun close() {
        isOver = true
        crowd.forEach { it.close() }
        instance.close()
        fixture.close()
    }

    private fun start() {
        fixture.replica("p-1", RelayFixture.PLAIN) { request, answer -> answer.sendComplete(request, LARGE_BODY) }
        engine = fixture.replica("e-1", RelayFixture.ENGINE, behaviour = ::streamWithoutEnd)
        fixture.replica("sound", SOUND) { request, answer -> answer.sendComplete(request, ORDINARY_BODY) }
        fixture.configureSound(SOUND)
        instance.start(directory, RelayChildProcess.DEPLOYED_OPTIONS + "-Xmx${HEAP_MEGABYTES}m")
    }

    private fun streamWithoutEnd(
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ) {
        var event = 0
        try {
            answer.startStream(request)
            while (!isOver) answer.sendChunk(List(EVENTS) { "id: ${++event}\ndata: $EVENT_TEXT\n\n" }.joinToString(""))
        } catch (closed: IOException) {
            // Expected: the instance closed the connection.
        }
    }

    private fun connect(
        path: String,
        id: String,
        extra: String = "",
    ): Socket {
        val socket = Socket()
        socket.receiveBufferSize = RECEIVE_BYTES
        socket.connect(InetSocketAddress("127.0.0.1", instance.callers))
        socket.getOutputStream().write(fixture.request(path, id, extra = extra).toByteArray())
        return socket
    }

    private fun openCrowd(
        path: String,
        size: Int,
        intervalMillis: Long,
    ) = repeat(size) {
        crowd += connect(path, "slow-$it")
        Thread.sleep(intervalMillis)
    }

    /** Checks the process [CHECKS] times while the crowd is connected, and the answer to one ordinary request. */
    private fun assertSound() {
        repeat(CHECKS) {
            assertTrue(instance.isAlive, "the process ended")
            val bytes = residentBytes() + unreadBytes()
            assertTrue(bytes < GRANTED_BYTES, "the process holds $bytes bytes")
            val descriptors = checkNotNull(directoryOfProcess().resolve("fd").toFile().list()).size
            assertTrue(descriptors < MAXIMUM_DESCRIPTORS, "the process has $descriptors open descriptors")
            Thread.sleep(CHECK_INTERVAL_MILLIS)
        }
        val answer =
            Socket("127.0.0.1", instance.callers).use { socket ->
                socket.soTimeout = READ_TIMEOUT_MILLIS
                socket.getOutputStream().write(fixture.request("/sound/a", "ordinary").toByteArray())
                String(socket.getInputStream().readBytes())
            }
        assertEquals("HTTP/1.1 200 OK", answer.lineSequence().first())
        assertEquals(ORDINARY_BODY.length, answer.substringAfter("\r\n\r\n").length, "bytes of the ordinary response")
        assertEquals("", Files.readString(directory.resolve("err")))
    }

    private fun directoryOfProcess() = Path.of("/proc", instance.pid.toString())

    private fun residentBytes(): Long {
        val line = Files.readAllLines(directoryOfProcess().resolve("status")).first { it.startsWith("VmRSS:") }
        return line.filter(Char::isDigit).toLong() * KILOBYTE
    }

    /** Bytes that the process has received from the engine and not read, which count towards its memory. */
    private fun unreadBytes(): Long {
        val port = ":%04X".format(engine.address.substringAfter(':').toInt())
        return Files
            .readAllLines(Path.of("/proc/net/tcp"))
            .map { it.trim().split(Regex(" +")) }
            .filter { it[REMOTE_ADDRESS].endsWith(port) }
            .sumOf { it[QUEUES].substringAfter(':').toLong(HEXADECIMAL) }
    }

    // The buffers of all streams together had no bound: an instance ran out of memory by streams that nobody read.
    @Test
    fun `callers that never read their streams leave the instance in its memory`() {
        start()
        openCrowd("/stream/a", STREAM_CROWD, intervalMillis = 0)
        assertSound()
    }

    // Bodies that nobody read filled the memory for bodies, so that the calls of all other callers failed.
    @Test
    fun `callers that never read the bodies of their calls take no answers from others`() {
        start()
        openCrowd("/unsafe/a", BODY_CROWD, BODY_INTERVAL_MILLIS)
        assertSound()
    }

    // A byte now and then kept the whole body of a response in memory.
    @Test
    fun `callers that read a byte at a time take no answers from others`() {
        start()
        openCrowd("/unsafe/a", BODY_CROWD, BODY_INTERVAL_MILLIS)
        val readers =
            crowd.map { socket ->
                thread {
                    while (!isOver && runCatching { socket.getInputStream().read() }.getOrDefault(-1) >= 0) {
                        Thread.sleep(BYTE_INTERVAL_MILLIS)
                    }
                }
            }
        assertSound()
        isOver = true
        readers.forEach { it.join() }
    }

    private companion object {
        const val SOUND = "sound"

        /** The heap of the instance under test, and `memory_mb` of its settings. */
        const val HEAP_MEGABYTES = 40
        const val GRANTED_BYTES = 280L * 1_048_576
        const val KILOBYTE = 1_024L
        const val REMOTE_ADDRESS = 2
        const val QUEUES = 4
        const val HEXADECIMAL = 16

        /** Far below what a machine allows, and above the crowd and its connections to replicas. */
        const val MAXIMUM_DESCRIPTORS = 800

        /** Each held 140 KB, so that these would need 42 MB. */
        const val STREAM_CROWD = 300
        const val BODY_CROWD = 12
        const val RECEIVE_BYTES = 4_096
        const val EVENTS = 64
        val EVENT_TEXT = "x".repeat(100)

        /** Half of the largest response that is relayed: three of them filled the memory for bodies of 12 MiB. */
        val LARGE_BODY = "x".repeat(4 * 1_048_576)
        val ORDINARY_BODY = "y".repeat(400_000)

        /** Lets the crowd's calls reach their bodies one after the other, so that some of them hold whole ones. */
        const val BODY_INTERVAL_MILLIS = 200L
        const val CHECKS = 20
        const val CHECK_INTERVAL_MILLIS = 200L
        const val BYTE_INTERVAL_MILLIS = 20L
        const val READ_TIMEOUT_MILLIS = 8_000
    }
}
