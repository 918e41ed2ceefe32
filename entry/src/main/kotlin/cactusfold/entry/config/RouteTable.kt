package cactusfold.entry.config

import cactusfold.entry.streams.ResumableServices
import cactusfold.ports.serving.ServiceSpec
import cactusfold.ports.serving.ServingConfig
import cactusfold.ports.serving.ServingIndex
import cactusfold.ports.serving.ServingRoute
import cactusfold.ports.serving.ServingWorkspace

/** One version of the configuration, indexed for lookups by request. */
public class RouteTable(public val config: ServingConfig) {
    /** The services with streams that may be resumed. */
    public val resumableServices: ResumableServices = ResumableServices.of(config)

    /** The different priorities that requests may have, in ascending order. */
    public val priorities: List<Int> =
        (config.routes.map { it.priority } + config.workspaces.mapNotNull { it.priority })
            .distinct().sorted()

    private val index = ServingIndex(config)

    /** Returns the route with the longest prefix of [path] on [host], or null. */
    public fun route(host: String, path: String): ServingRoute? = index.route(host, path)

    /** Returns the workspace that owns the API key [key], or null. */
    public fun workspace(key: String): ServingWorkspace? = index.workspace(key)

    /** Returns the service named [name], or null. */
    public fun service(name: String): ServiceSpec? = config.services[name]
}
