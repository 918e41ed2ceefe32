package cactusfold.ports.serving

import java.util.IdentityHashMap

/** The route, and the workspace by its API key, that a configuration gives to a request. */
public class ServingIndex(config: ServingConfig) {
    private val routesByHost: Map<String, List<ServingRoute>> = config.routes
        .groupBy { it.host }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.prefix.length } }
    private val workspacesByKey: Map<String, ServingWorkspace> = config.workspaces
        .flatMap { workspace -> workspace.keys.map { it to workspace } }
        .toMap()
    private val routeIndices = IdentityHashMap<ServingRoute, Int>()
        .apply { config.routes.forEachIndexed { index, route -> putIfAbsent(route, index) } }

    /**
     * Returns the route with the longest prefix of [path] on [host], the first one of equal
     * prefixes, or null. Case and port of [host] do not matter.
     */
    public fun route(host: String, path: String): ServingRoute? =
        routesByHost[host.substringBefore(':').lowercase()]?.find { path.startsWith(it.prefix) }

    /** Returns the index in the configuration of the route that [route] returns, or null. */
    public fun routeIndex(host: String, path: String): Int? =
        route(host, path)?.let(routeIndices::get)

    /** Returns the workspace that owns the API key [key], the last one that names it, or null. */
    public fun workspace(key: String): ServingWorkspace? = workspacesByKey[key]
}
