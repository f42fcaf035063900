package io.sequoiawheel.daemon.gateway

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readUTF8Line
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.serving.DispatchException
import io.sequoiawheel.core.serving.EngineEvent
import kotlinx.serialization.SerializationException

/** Reads the server-sent events of a generation from an engine. */
internal class EngineEventReader(
    private val channel: ByteReadChannel,
    private val generation: RequestId,
) {
    private var id = ""
    private var event = ""
    private var data = ""

    /** Returns the next event, or null at the end of the connection. */
    suspend fun next(): EngineEvent? {
        while (true) {
            val line = channel.readUTF8Line(MAXIMUM_LINE_LENGTH) ?: return null
            if (line.isEmpty()) {
                buildEvent()?.let { return it }
            } else {
                parseField(line)
            }
        }
    }

    private fun parseField(line: String) {
        when {
            line.startsWith("id:") -> id = line.substring("id:".length).trim()
            line.startsWith("event:") -> event = line.substring("event:".length).trim()
            line.startsWith("data:") -> data = line.substring("data:".length).trim()
        }
    }

    private fun buildEvent(): EngineEvent? {
        val name = event
        event = ""
        return try {
            when (name) {
                "token" -> parseToken()
                "done" -> parseDone()
                "" -> null
                else -> throw malformedEvent("unknown event type $name")
            }
        } catch (error: SerializationException) {
            throw malformedEvent(error.message.orEmpty())
        }
    }

    private fun parseToken(): EngineEvent {
        val offset = id.toIntOrNull() ?: throw malformedEvent("token event without an offset")
        val body = EngineWire.json.decodeFromString(EngineWire.Token.serializer(), data)
        return EngineEvent.Token(RequestId(body.generation), offset, body.text)
    }

    private fun parseDone(): EngineEvent {
        val body = EngineWire.json.decodeFromString(EngineWire.Done.serializer(), data)
        return EngineEvent.Done(body.generation?.let(::RequestId) ?: generation, body.tokens)
    }

    private fun malformedEvent(reason: String) =
        DispatchException(DispatchException.Outcome.UNKNOWN, "malformed event from the engine: $reason")

    private companion object {
        const val MAXIMUM_LINE_LENGTH = 1_048_576
    }
}
