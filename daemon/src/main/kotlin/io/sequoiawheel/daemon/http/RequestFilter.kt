package io.sequoiawheel.daemon.http

/** One step of the request path. It answers itself or calls the next step. */
internal fun interface RequestFilter {
    suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Reply,
    ): Reply
}

/** Returns the handler that runs these filters in order before [handler]. */
internal fun List<RequestFilter>.before(handler: suspend (Exchange) -> Reply): suspend (Exchange) -> Reply =
    foldRight(handler) { filter, next -> { exchange -> filter.handle(exchange, next) } }
