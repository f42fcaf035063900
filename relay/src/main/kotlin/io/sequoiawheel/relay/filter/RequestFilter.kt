package io.sequoiawheel.relay.filter

/** One step in handling a request: it either answers the request itself or passes it to `next`. */
internal fun interface RequestFilter {
    suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Unit,
    )
}

/** Applies filters in order, each wrapping the ones after it, and then calls [terminal]. */
internal class FilterChain(
    private val filters: List<RequestFilter>,
    private val terminal: suspend (Exchange) -> Unit,
) {
    suspend fun handle(exchange: Exchange) = handleFrom(0, exchange)

    private suspend fun handleFrom(
        index: Int,
        exchange: Exchange,
    ) {
        if (index == filters.size) return terminal(exchange)
        filters[index].handle(exchange) { handleFrom(index + 1, it) }
    }
}
