package io.sequoiawheel.relay.backend

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelOption
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.IOException
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Suspends until the future is done. Throws its failure as an [IOException]. */
internal suspend fun ChannelFuture.awaitDone() {
    if (isDone) {
        if (isSuccess) return
        throw IOException(cause()?.message, cause())
    }
    suspendCancellableCoroutine { continuation ->
        addListener {
            if (isSuccess) {
                continuation.resume(Unit)
            } else {
                continuation.resumeWithException(IOException(cause()?.message, cause()))
            }
        }
    }
}

/** Closes the channel with a TCP reset, which also discards data that is queued for sending. */
internal fun Channel.reset() {
    if (isOpen) {
        runCatching { config().setOption(ChannelOption.SO_LINGER, 0) }
        close()
    }
}
