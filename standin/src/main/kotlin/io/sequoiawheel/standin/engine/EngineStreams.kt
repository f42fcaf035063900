package io.sequoiawheel.standin.engine

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.cancel
import io.ktor.utils.io.writeStringUtf8
import io.sequoiawheel.standin.server.Link
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.first
import kotlinx.serialization.json.Json
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger

/** Writes the tokens of generations as server-sent events, with the faults of [link] and of the engine. Thread-safe. */
internal class EngineStreams(
    private val link: Link,
) {
    private val crossTokens = AtomicInteger()
    private val repeatTokens = AtomicInteger()

    /** Puts the stream faults of [faults] in force. */
    fun order(faults: EngineFaults) {
        crossTokens.set(faults.crossNextTokens)
        repeatTokens.set(faults.repeatNextTokens)
    }

    /** Answers [call] with the events of a generation from offset [from] on until its end or a cut of the link. */
    suspend fun serve(
        call: ApplicationCall,
        progress: StateFlow<GenerationLog>,
        from: Int,
    ) {
        val cutsBefore = link.cutCount.value
        call.respondBytesWriter(ContentType.Text.EventStream) {
            if (!write(this, progress, from, cutsBefore)) cancel(IOException("the stream ends without its last event"))
        }
    }

    /** Returns whether the stream ended with its last event. */
    private suspend fun write(
        channel: ByteWriteChannel,
        progress: StateFlow<GenerationLog>,
        from: Int,
        cutsBefore: Int,
    ): Boolean {
        channel.flush()
        var offset = from
        while (true) {
            val log = awaitNews(progress, offset, cutsBefore)
            if (link.cutCount.value != cutsBefore) return false
            while (offset < log.tokens) writeToken(channel, log, offset++)
            if (log.end == GenerationLog.End.DONE) writeDone(channel, log)
            channel.flush()
            if (log.end != null) return log.end == GenerationLog.End.DONE
        }
    }

    private suspend fun awaitNews(
        progress: StateFlow<GenerationLog>,
        offset: Int,
        cutsBefore: Int,
    ): GenerationLog =
        combine(progress, link.faults, link.cutCount) { log, faults, cuts ->
            val hasNews = log.tokens > offset || log.end != null
            log.takeIf { cuts != cutsBefore || hasNews && !faults.stalled }
        }.first { it != null } ?: progress.value

    private suspend fun writeToken(
        channel: ByteWriteChannel,
        log: GenerationLog,
        offset: Int,
    ) {
        val generation = if (crossTokens.takeOne()) "other-${log.generation.value}" else log.generation.value
        val token = EngineWire.Token(generation, EngineModel.tokenText(log.generation, offset))
        val data = Json.encodeToString(EngineWire.Token.serializer(), token)
        val event = "id: $offset\nevent: token\ndata: $data\n\n"
        channel.writeStringUtf8(event)
        if (repeatTokens.takeOne()) channel.writeStringUtf8(event)
    }

    private suspend fun writeDone(
        channel: ByteWriteChannel,
        log: GenerationLog,
    ) {
        val done = EngineWire.Done(log.generation.value, log.tokens)
        val data = Json.encodeToString(EngineWire.Done.serializer(), done)
        channel.writeStringUtf8("event: done\ndata: $data\n\n")
    }

    private fun AtomicInteger.takeOne(): Boolean = getAndUpdate { maxOf(0, it - 1) } > 0
}
