package cactusfold.node.admin

import cactusfold.settings.schema.HostPort
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.coAwait

/** A condition that must hold for `/readyz` to report the process as ready. */
public fun interface ReadinessCheck {
    /** Returns why the process should receive no new requests, or null if it may. */
    public fun reason(): String?
}

/**
 * HTTP server for operators: `/healthz`, `/readyz`, `/metrics` and the routes that a daemon adds.
 */
public class AdminServer(
    private val vertx: Vertx,
    private val address: HostPort,
    private val metrics: PrometheusMeterRegistry,
    private val readiness: List<ReadinessCheck>
) {
    /** The router of the server. Daemons must add their routes before [start]. */
    public val router: Router = Router.router(vertx)
    private var server: HttpServer? = null

    init {
        router.get("/healthz").handler { it.end("ok\n") }
        router.get("/readyz").handler(::handleReadiness)
        router.get("/metrics").handler {
            it.response().putHeader("content-type", "text/plain; version=0.0.4")
            it.end(metrics.scrape())
        }
    }

    /** The port on which the server listens; the configured one before [start]. */
    public val port: Int get() = server?.actualPort() ?: address.port

    public suspend fun start() {
        server = vertx.createHttpServer()
            .requestHandler(router)
            .listen(address.port, address.host)
            .coAwait()
    }

    public suspend fun stop() {
        server?.close()?.coAwait()
    }

    private fun handleReadiness(context: RoutingContext) {
        val reasons = readiness.mapNotNull { it.reason() }
        val body = JsonObject().put("ready", reasons.isEmpty()).put("reasons", JsonArray(reasons))
        context.response().setStatusCode(if (reasons.isEmpty()) OK else UNAVAILABLE)
        context.json(body)
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
    }
}
