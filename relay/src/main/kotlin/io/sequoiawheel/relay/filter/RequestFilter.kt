package io.sequoiawheel.relay.filter

/** One step of handling a request. It answers the request itself or hands it to [next]. */
internal fun interface RequestFilter {
    suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Unit,
    )
}

/** Runs filters in order, each around the ones after it. */
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
