package io.sequoiawheel.relay.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import io.sequoiawheel.core.memory.MemoryCost

/** Estimates the memory of what callers send, without the content of their bodies. */
internal object CallerMemoryCost {
    /** Returns the memory of the message object and its headers or trailers. */
    fun of(message: HttpObject): Int =
        when (message) {
            is HttpRequest -> MemoryCost.MESSAGE_BYTES.toInt() + message.uri().length + of(message.headers())
            is LastHttpContent -> MemoryCost.MESSAGE_BYTES.toInt() + of(message.trailingHeaders())
            else -> MemoryCost.MESSAGE_BYTES.toInt()
        }

    /** Returns the memory of one header. */
    fun ofHeader(
        name: CharSequence,
        value: Any,
    ): Int = MemoryCost.HEADER_BYTES.toInt() + name.length + ((value as? CharSequence)?.length ?: 0)

    private fun of(headers: HttpHeaders): Int {
        var bytes = 0
        if (headers.isEmpty) return bytes
        for (entry in headers.iteratorCharSequence()) bytes += ofHeader(entry.key, entry.value)
        return bytes
    }
}
