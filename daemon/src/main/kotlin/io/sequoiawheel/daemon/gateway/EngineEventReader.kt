package io.sequoiawheel.daemon.gateway

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readUTF8Line
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.serving.DispatchException
import io.sequoiawheel.core.serving.EngineEvent
import kotlinx.serialization.SerializationException

/** Reads an engine's server-sent events. */
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
            val line = channel.readUTF8Line(MAXIMUM_LINE) ?: return null
            if (line.isEmpty()) {
                complete()?.let { return it }
            } else {
                takeField(line)
            }
        }
    }

    private fun takeField(line: String) {
        when {
            line.startsWith("id:") -> id = line.substring("id:".length).trim()
            line.startsWith("event:") -> event = line.substring("event:".length).trim()
            line.startsWith("data:") -> data = line.substring("data:".length).trim()
        }
    }

    private fun complete(): EngineEvent? {
        val name = event
        event = ""
        return try {
            when (name) {
                "token" -> token()
                "done" -> done()
                "" -> null
                else -> throw unusable("unknown event $name")
            }
        } catch (error: SerializationException) {
            throw unusable(error.message.orEmpty())
        }
    }

    private fun token(): EngineEvent {
        val offset = id.toIntOrNull() ?: throw unusable("a token without offset")
        val body = EngineWire.json.decodeFromString(EngineWire.Token.serializer(), data)
        return EngineEvent.Token(RequestId(body.generation), offset, body.text)
    }

    private fun done(): EngineEvent {
        val body = EngineWire.json.decodeFromString(EngineWire.Done.serializer(), data)
        return EngineEvent.Done(body.generation?.let(::RequestId) ?: generation, body.tokens)
    }

    private fun unusable(reason: String) =
        DispatchException(DispatchException.Outcome.UNKNOWN, "unusable event of an engine: $reason")

    private companion object {
        const val MAXIMUM_LINE = 1_048_576
    }
}
