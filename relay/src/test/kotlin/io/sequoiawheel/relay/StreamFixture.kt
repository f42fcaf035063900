package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.ReceivedRequest
import io.sequoiawheel.standin.platform.ReplicaAnswer
import io.sequoiawheel.standin.platform.ReplicaStandIn
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/** Writes one replica's response to a generation. */
internal typealias StreamScript = (ReceivedRequest, ReplicaAnswer) -> Unit

/** Everything that a caller received on a connection, and whether the connection ended with a reset. */
internal class ReceivedStream(
    val text: String,
    val isReset: Boolean,
) {
    private val bodyStart = text.indexOf(HEAD_END) + HEAD_END.length

    val head: String get() = text.take(bodyStart)

    /** Whether the response has its last chunk. */
    var isComplete = false
        private set

    /** The content of the chunks, including an incomplete one. */
    val body: String = decodeChunks()

    private fun decodeChunks(): String {
        val body = StringBuilder()
        var position = bodyStart
        while (position < text.length) {
            val lineEnd = text.indexOf(LINE_END, position)
            if (lineEnd < 0) return body.append(text.substring(position)).toString()
            val size =
                text.substring(position, lineEnd).toIntOrNull(HEX)
                    ?: return body.append(text.substring(position)).toString()
            val start = lineEnd + LINE_END.length
            if (size == 0) {
                isComplete = text.startsWith(LINE_END, start)
                return body.append(text.drop(start + LINE_END.length)).toString()
            }
            body.append(text.substring(start, minOf(start + size, text.length)))
            position = start + size + LINE_END.length
        }
        return body.toString()
    }

    private companion object {
        const val HEX = 16
        const val LINE_END = "\r\n"
        const val HEAD_END = "\r\n\r\n"
    }
}

/** A relay with three engines. The generations that they receive are answered by scripts, in the order of arrival. */
internal class StreamFixture : AutoCloseable {
    val relay = RelayFixture()
    private val engines = ConcurrentHashMap<String, ReplicaStandIn>()
    private var received = 0

    /** Ids of the engines that received the generation, in the order of arrival. */
    val receivers = ArrayList<String>()

    /** Ids of the engines that were asked to continue from a copy. */
    val continued = CopyOnWriteArrayList<String>()

    /** The status with which the engines answer requests to copy a run. */
    @Volatile
    var copyStatus = "200 OK"

    /** Answers requests to copy a run. */
    @Volatile
    var answerCopy: StreamScript = { request, answer -> answer.sendComplete(request, COPY, copyStatus) }

    /** Starts the relay and its engines. The last of [scripts] also answers all further attempts. */
    fun start(
        vararg scripts: StreamScript,
        onCopy: () -> Unit = {},
    ) {
        for (id in ENGINES) {
            engines[id] =
                relay.replica(id, RelayFixture.ENGINE) { request, answer ->
                    if (request.target == "/v1/kv-move") {
                        onCopy()
                        answerCopy(request, answer)
                    } else if (request.method == "DELETE") {
                        answer.sendComplete(request, "")
                    } else {
                        if (request.header("Kv-From") != null) continued += id
                        scripts[minOf(nextAttempt(id), scripts.lastIndex)](request, answer)
                    }
                }
        }
        relay.configure()
        relay.start()
        RelayFixture.awaitTrue("the share of the retry budget is known") { relay.daemon.knowsInstances }
    }

    /** Sets the engine that received the generation first to draining. */
    fun drainSource() {
        val source = synchronized(receivers) { receivers.first() }
        relay.register(source, RelayFixture.ENGINE, engines.getValue(source), state = "draining")
    }

    /** Sends a generation to [path] and returns everything that the caller receives. */
    fun send(path: String): ReceivedStream = sendRequest(relay.request(path, extra = "X-Token-Usage: 3000,900\r\n"))

    /** Sends [request] on a connection of its own and returns everything that the caller receives. */
    fun sendRequest(request: String): ReceivedStream = relay.receive(request)

    override fun close() = relay.close()

    private fun nextAttempt(id: String): Int =
        synchronized(receivers) {
            receivers += id
            received++
        }

    companion object {
        val ENGINES = listOf("e-1", "e-2", "e-3")
        const val RESUMABLE = "/resumable/a"
        const val NOT_RESUMABLE = "/stream/a"
        const val COPY = """{"session":"h-1","created":1}"""

        /** Number of the last event of a complete stream. */
        const val LAST_EVENT = 6
        private const val EVENT_MILLIS = 15L

        fun event(id: Int) = "id: $id\ndata: piece $id\n\n"

        fun events(ids: IntRange) = ids.joinToString("") { event(it) }

        /** Streams the events that follow the request's Last-Event-Id, and ends the stream. */
        val complete: StreamScript = { request, answer ->
            answer.startStream(request)
            sendEvents(answer, (request.header("Last-Event-Id")?.toInt() ?: 0) + 1..LAST_EVENT)
            answer.endStream()
        }

        /** Streams two events and resets the connection. */
        val brokenOff: StreamScript = { request, answer ->
            answer.startStream(request)
            sendEvents(answer, 1..2)
            answer.reset()
        }

        fun sendEvents(
            answer: ReplicaAnswer,
            ids: IntRange,
        ) = ids.forEach {
            answer.sendEvent(it)
            Thread.sleep(EVENT_MILLIS)
        }
    }
}
