package io.sequoiawheel.relay.backend

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse

/** Limits the messages that are decoded within one exchange, whose cost does not depend on their content. */
internal class ExchangeLimits {
    private var heads = 0
    private var parts = 0L
    private var contentBytes = 0L

    /** Starts the next exchange. */
    fun restart() {
        heads = 0
        parts = 0
        contentBytes = 0
    }

    /** Counts [message] and returns the limit that it exceeds, or null. */
    fun exceededBy(message: HttpObject): String? {
        if (message is HttpResponse && ++heads > MAXIMUM_HEADS) return "more than $MAXIMUM_HEADS heads"
        if (message is HttpContent) {
            parts++
            contentBytes += message.content().readableBytes()
        }
        val isWasteful = parts > UNCHECKED_PARTS && contentBytes < parts * MINIMUM_MEAN_BYTES
        return if (isWasteful) "$parts chunks of less than $MINIMUM_MEAN_BYTES bytes on average" else null
    }

    private companion object {
        /** The response, and the informational and late responses to other requests that precede it. */
        const val MAXIMUM_HEADS = 32

        /** No event of a stream is shorter than its id. */
        const val MINIMUM_MEAN_BYTES = 8

        /** Chunks of a response that may have any size. */
        const val UNCHECKED_PARTS = 4_096
    }
}
