package cactusfold.settings.fleet

import cactusfold.decisions.config.ConfigDocument
import cactusfold.decisions.placement.ModelSpec
import cactusfold.decisions.placement.RunnerSpec
import cactusfold.decisions.rate.RateLimit
import cactusfold.settings.schema.HostPort
import cactusfold.settings.schema.SchemaValidator
import cactusfold.settings.schema.SectionReader

/** A class of requests with a common target latency. */
public data class WorkClass(public val name: String, public val targetMillis: Long)

/**
 * A workspace.
 *
 * @property limit rate limit for the workspace's tokens over all VMs together.
 * @property share weight against other workspaces when requests are queued.
 * @property models null if the workspace may use all models.
 */
public data class Workspace(
    public val name: String,
    public val limit: RateLimit,
    public val share: Double,
    public val models: Set<String>?
) {
    /** Whether the workspace may use [model]. */
    public fun mayUse(model: String): Boolean = models == null || model in models
}

/** An API key, identified by the digest of its secret. */
public data class CallerKey(
    public val id: String,
    public val workspace: String,
    public val sha256: String
)

/**
 * Routes requests with a path prefix to plain services or, for model requests, to runners.
 *
 * @property workClass name of the [WorkClass] of the requests.
 * @property services plain services that may serve a request; null for model requests.
 * @property isRepeatable whether a request may be executed more than once.
 * @property isOpen whether requests need no API key.
 * @property duplicateWindowMillis how long equal requests without an idempotency key count as one.
 * @property costTokens tokens charged for a request to a plain service.
 */
public data class Route(
    public val name: String,
    public val pathPrefix: String,
    public val workClass: String,
    public val services: List<String>?,
    public val isRepeatable: Boolean,
    public val isOpen: Boolean,
    public val duplicateWindowMillis: Long,
    public val costTokens: Long
)

/**
 * A model or an adapter.
 *
 * @property workClass overrides the class of the route; null if the route's applies.
 * @property onDisk runners that have the checkpoint on their disks.
 */
public data class FleetModel(
    public val spec: ModelSpec,
    public val workClass: String?,
    public val onDisk: Set<String>
)

/** An instance of a plain service, which processes up to [slots] requests concurrently. */
public data class ServiceSpec(
    public val name: String,
    public val address: HostPort,
    public val zone: String,
    public val slots: Int
)

/** A runner and the placement cell that it belongs to. */
public data class FleetRunner(public val spec: RunnerSpec, public val cell: String)

/** A version of the configuration in typed form. */
public data class FleetConfig(
    public val version: Long,
    public val classes: Map<String, WorkClass>,
    public val workspaces: Map<String, Workspace>,
    public val keysByDigest: Map<String, CallerKey>,
    public val routes: List<Route>,
    public val models: Map<String, FleetModel>,
    public val runners: Map<String, FleetRunner>,
    public val services: Map<String, ServiceSpec>
) {
    /** All placement cells that have a runner. */
    public val cells: Set<String> = runners.values.mapTo(mutableSetOf()) { it.cell }

    private val routesByLength = routes.sortedByDescending { it.pathPrefix.length }

    /** Returns the route with the longest prefix that matches [path], or null. */
    public fun routeFor(path: String): Route? =
        routesByLength.find { matchesPrefix(path, it.pathPrefix) }

    /** Returns the cell that places [model], or null if there is no cell. */
    public fun cellOf(model: String): String? {
        val base = models[model]?.spec?.base ?: model
        return cactusfold.decisions.Rendezvous.preferred(base, cells)
    }

    private fun matchesPrefix(path: String, prefix: String): Boolean = path.startsWith(prefix) &&
        (path.length == prefix.length || prefix.endsWith('/') || path[prefix.length] == '/')

    public companion object {
        /** The empty configuration, which applies before the first change. */
        public val EMPTY: FleetConfig = of(0, ConfigDocument())

        /** Returns the typed form of [document], which must have passed validation. */
        public fun of(version: Long, document: ConfigDocument): FleetConfig {
            val reader = FleetReader(document)
            return FleetConfig(
                version,
                reader.classes(),
                reader.workspaces(),
                reader.keys(),
                reader.routes(),
                reader.models(),
                reader.runners(),
                reader.services()
            )
        }
    }
}

private const val RUNNERS = "runners"

private class FleetReader(private val document: ConfigDocument) {
    fun classes(): Map<String, WorkClass> = sections("class") { name, section ->
        WorkClass(name, section.long("target_millis"))
    }

    fun workspaces(): Map<String, Workspace> = sections("workspace") { name, section ->
        val limit = RateLimit(
            section.double("rate_tokens_per_second"),
            section.double("burst_tokens")
        )
        val models = section.names("models").toSet()
        Workspace(name, limit, section.double("share"), models.takeIf { "*" !in it })
    }

    fun keys(): Map<String, CallerKey> = sections("key") { id, section ->
        CallerKey(id, section.text("workspace"), section.text("sha256"))
    }.values.associateBy { it.sha256 }

    fun routes(): List<Route> = sections("route") { name, section ->
        val upstreams = section.names("upstreams")
        Route(
            name,
            section.text("path_prefix"),
            section.text("class"),
            upstreams.takeIf { it != listOf(RUNNERS) },
            section.flag("repeatable"),
            section.flag("open"),
            section.long("duplicate_window_millis"),
            section.long("cost_tokens")
        )
    }.values.toList()

    fun models(): Map<String, FleetModel> = sections("model") { name, section ->
        val spec = ModelSpec(name, section.long("memory_bytes"), section.textOrNull("base"))
        FleetModel(spec, section.textOrNull("class"), section.names("on_disk").toSet())
    }

    fun runners(): Map<String, FleetRunner> = sections("upstream") { name, section ->
        if (section.text("kind") != "runner") return@sections null
        val spec = RunnerSpec(
            name,
            section.text("host"),
            section.int("port"),
            section.text("zone"),
            section.long("memory_bytes") - section.long("kv_reserve_bytes"),
            section.int("slots"),
            section.flag("checks_fence")
        )
        FleetRunner(spec, section.text("cell"))
    }

    fun services(): Map<String, ServiceSpec> = sections("upstream") { name, section ->
        if (section.text("kind") != "service") return@sections null
        val address = HostPort(section.text("host"), section.int("port"))
        ServiceSpec(name, address, section.text("zone"), section.int("slots"))
    }

    private fun <A : Any> sections(
        kind: String,
        read: (String, SectionReader) -> A?
    ): Map<String, A> {
        val spec = fleetSchema.sections.first { it.kind == kind }
        return document.sections
            .filterKeys { it.startsWith("$kind ") }
            .mapNotNull { (section, values) ->
                val name = section.substringAfter(' ')
                val filled = SchemaValidator.withDefaults(spec, values)
                read(name, SectionReader(filled))?.let { name to it }
            }.toMap()
    }
}
