package io.sequoiawheel.core.relay

/** Finds the route of a request by its host and longest matching path prefix. */
internal class RouteTable(
    routes: Collection<Route>,
) {
    private val byHost: Map<String, List<Route>> =
        routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, ofHost) -> ofHost.sortedByDescending { it.pathPrefix.length } }

    fun find(
        host: String,
        path: String,
    ): Route? = byHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
