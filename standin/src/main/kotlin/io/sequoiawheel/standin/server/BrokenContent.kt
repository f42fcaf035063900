package io.sequoiawheel.standin.server

import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.utils.io.ByteWriteChannel
import java.io.IOException

/** Announces a length and ends the connection before it is reached, so that no client takes the answer as whole. */
internal class BrokenContent : OutgoingContent.WriteChannelContent() {
    override val contentLength: Long = ANNOUNCED_BYTES

    override val status: HttpStatusCode = HttpStatusCode.OK

    override suspend fun writeTo(channel: ByteWriteChannel) {
        channel.flush()
        channel.cancel(IOException("the connection is cut by order"))
    }

    private companion object {
        const val ANNOUNCED_BYTES = 1_000_000L
    }
}
