package cactusfold.entry.process

import cactusfold.settings.schema.HostPort
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait

/** Serves the load balancer's readiness checks and the metrics. */
public class StatusServer(
    private val vertx: Vertx,
    private val metrics: PrometheusMeterRegistry,
    private val unreadyReason: () -> String?
) {
    /** Starts serving readiness checks on [ready] and metrics on [metricsAddress]. */
    public suspend fun start(ready: HostPort, metricsAddress: HostPort) {
        vertx.createHttpServer().requestHandler(::ready).listen(ready.port, ready.host).coAwait()
        vertx.createHttpServer().requestHandler {
            it.response().putHeader("content-type", METRICS_TYPE).end(metrics.scrape())
        }.listen(metricsAddress.port, metricsAddress.host).coAwait()
    }

    private fun ready(request: HttpServerRequest) {
        val reason = unreadyReason()
        val response = request.response()
        if (reason != null) response.setStatusCode(UNAVAILABLE)
        response.end(reason ?: "ready")
    }

    private companion object {
        const val UNAVAILABLE = 503
        const val METRICS_TYPE = "text/plain; version=0.0.4"
    }
}
