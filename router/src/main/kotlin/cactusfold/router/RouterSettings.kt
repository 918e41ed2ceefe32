package cactusfold.router

import cactusfold.decisions.rate.TokenGrantSettings
import cactusfold.node.launch.NodeSettings
import cactusfold.node.launch.nodeSections
import cactusfold.settings.schema.HostPort
import cactusfold.settings.schema.Schema
import cactusfold.settings.schema.Settings
import cactusfold.settings.schema.ValueType
import cactusfold.settings.schema.schema

private const val MAX_BODY_BYTES = 1L shl 30
private const val MAX_HEADER_BYTES = 1L shl 20
private const val DAY_MILLIS = 86_400_000L
private const val MAX_QUEUE = 1_000_000L
private const val MAX_LOOPS = 256L
private const val MAX_CONNECTIONS = 10_000L
private const val MAX_ROUTERS = 10_000L

/** Schema of the router settings. */
public val routerSchema: Schema = schema("cactusfold-router") {
    nodeSections()
    section("callers", "The port that callers use.") {
        key("address", ValueType.Address, "Where callers reach the router.", "127.0.0.1:8080")
        whole("event_loops", "threads", 1L..MAX_LOOPS, "Threads that serve callers.", 2)
        whole("body_max_bytes", "bytes", 1L..MAX_BODY_BYTES, "Largest request body.", 4_194_304)
        whole("header_max_bytes", "bytes", 1_024L..MAX_HEADER_BYTES, "Largest headers.", 16_384)
        millis("receive_timeout_millis", 10L..DAY_MILLIS, "Time to send a whole request.", 10_000)
    }
    section("upstreams", "Calls to upstreams.") {
        millis("connect_timeout_millis", 1L..DAY_MILLIS, "Time to connect.", 500)
        millis("answer_timeout_millis", 10L..DAY_MILLIS, "Time for a whole answer.", 120_000)
        millis("idle_timeout_millis", 10L..DAY_MILLIS, "Longest silence within an answer.", 30_000)
        whole("connections_max", "connections", 1L..MAX_CONNECTIONS, "For each upstream.", 256)
    }
    section("queue", "Requests that wait.") {
        whole("max_total", "requests", 1L..MAX_QUEUE, "For each model or service.", 4_096)
        whole("max_per_workspace", "requests", 1L..MAX_QUEUE, "Of these, for one workspace.", 1_024)
    }
    section("rates", "Fleet-wide rates.") {
        whole("router_slots", "routers", 1L..MAX_ROUTERS, "Routers that the fleet may have.", 16)
    }
}

/** Settings of the port that serves callers. */
public data class CallerSettings(
    public val address: HostPort,
    public val eventLoops: Int,
    public val bodyMaxBytes: Long,
    public val headerMaxBytes: Int,
    public val receiveTimeoutMillis: Long
)

/** Timeouts and limits of calls to upstreams. */
public data class UpstreamSettings(
    public val connectTimeoutMillis: Int,
    public val answerTimeoutMillis: Long,
    public val idleTimeoutMillis: Long,
    public val connectionsMax: Int
)

/** Settings of a router. */
public data class RouterSettings(
    public val node: NodeSettings,
    public val callers: CallerSettings,
    public val upstreams: UpstreamSettings,
    public val queueMaxTotal: Int,
    public val queueMaxPerWorkspace: Int,
    public val contact: TokenGrantSettings
)

/** Converts validated [settings] to their typed form. */
public fun routerSettings(settings: Settings): RouterSettings {
    val callers = settings.section("callers")
    val upstreams = settings.section("upstreams")
    val queue = settings.section("queue")
    return RouterSettings(
        NodeSettings.of(settings),
        CallerSettings(
            callers.address("address"),
            callers.int("event_loops"),
            callers.long("body_max_bytes"),
            callers.int("header_max_bytes"),
            callers.long("receive_timeout_millis")
        ),
        UpstreamSettings(
            upstreams.int("connect_timeout_millis"),
            upstreams.long("answer_timeout_millis"),
            upstreams.long("idle_timeout_millis"),
            upstreams.int("connections_max")
        ),
        queue.int("max_total"),
        queue.int("max_per_workspace"),
        TokenGrantSettings(routerSlots = settings.section("rates").int("router_slots"))
    )
}
