package io.sequoiawheel.daemon.http

/** A step of the request path that either replies itself or calls the next step. */
internal fun interface RequestFilter {
    suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Reply,
    ): Reply
}

/** Returns a handler that runs these filters in order, followed by [handler]. */
internal fun List<RequestFilter>.wrap(handler: suspend (Exchange) -> Reply): suspend (Exchange) -> Reply =
    foldRight(handler) { filter, next -> { exchange -> filter.handle(exchange, next) } }
