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

/** Streams tokens as server-sent events and injects the faults of [link] and the engine. This class is thread-safe. */
internal class EngineStreams(
    private val link: Link,
) {
    private val crossedTokens = AtomicInteger()
    private val repeatedTokens = AtomicInteger()

    /** Applies the faults in [faults] that affect streams. */
    fun applyFaults(faults: EngineFaults) {
        crossedTokens.set(faults.crossNextTokens)
        repeatedTokens.set(faults.repeatNextTokens)
    }

    /** Streams a generation from offset [from] to [call] until the generation ends or the link is cut. */
    suspend fun serve(
        call: ApplicationCall,
        progress: StateFlow<GenerationLog>,
        from: Int,
    ) {
        val cutsBefore = link.cutCount.value
        call.respondBytesWriter(ContentType.Text.EventStream) {
            if (!write(this, progress, from, cutsBefore)) cancel(IOException("stream aborted before its final event"))
        }
    }

    /** Returns whether the final event was written. */
    private suspend fun write(
        channel: ByteWriteChannel,
        progress: StateFlow<GenerationLog>,
        from: Int,
        cutsBefore: Int,
    ): Boolean {
        channel.flush()
        var offset = from
        while (true) {
            val log = awaitProgress(progress, offset, cutsBefore)
            if (link.cutCount.value != cutsBefore) return false
            while (offset < log.tokens) writeToken(channel, log, offset++)
            if (log.end == GenerationLog.End.DONE) writeDone(channel, log)
            channel.flush()
            if (log.end != null) return log.end == GenerationLog.End.DONE
        }
    }

    private suspend fun awaitProgress(
        progress: StateFlow<GenerationLog>,
        offset: Int,
        cutsBefore: Int,
    ): GenerationLog =
        combine(progress, link.faults, link.cutCount) { log, faults, cuts ->
            val hasProgress = log.tokens > offset || log.end != null
            log.takeIf { cuts != cutsBefore || hasProgress && !faults.stalled }
        }.first { it != null } ?: progress.value

    private suspend fun writeToken(
        channel: ByteWriteChannel,
        log: GenerationLog,
        offset: Int,
    ) {
        val generation = if (crossedTokens.consumeOne()) "other-${log.generation.value}" else log.generation.value
        val token = EngineWire.Token(generation, EngineModel.tokenText(log.generation, offset))
        val data = Json.encodeToString(EngineWire.Token.serializer(), token)
        val event = "id: $offset\nevent: token\ndata: $data\n\n"
        channel.writeStringUtf8(event)
        if (repeatedTokens.consumeOne()) channel.writeStringUtf8(event)
    }

    private suspend fun writeDone(
        channel: ByteWriteChannel,
        log: GenerationLog,
    ) {
        val done = EngineWire.Done(log.generation.value, log.tokens)
        val data = Json.encodeToString(EngineWire.Done.serializer(), done)
        channel.writeStringUtf8("event: done\ndata: $data\n\n")
    }

    private fun AtomicInteger.consumeOne(): Boolean = getAndUpdate { maxOf(0, it - 1) } > 0
}
