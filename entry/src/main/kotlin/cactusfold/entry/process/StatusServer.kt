package cactusfold.entry.process

import cactusfold.entry.callers.CallerConnections
import cactusfold.entry.callers.CallerListener
import cactusfold.entry.callers.ConnectionLimits
import cactusfold.entry.callers.InputRefusal
import cactusfold.entry.callers.VertxConnectionOutput
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.HeaderTranslator
import cactusfold.settings.schema.HostPort
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse

/**
 * Serves the load balancer's readiness checks and the metrics.
 *
 * @param limits those of connections, which are closed as callers' are.
 */
public class StatusServer(
    private val vertx: Vertx,
    private val metrics: PrometheusMeterRegistry,
    clock: MonotonicClock,
    events: EventLog,
    private val limits: ConnectionLimits,
    maxConnections: Int,
    private val translator: HeaderTranslator,
    recordClosed: (reason: String) -> Unit,
    private val unreadyReason: () -> String?
) {
    private val connections = CallerConnections(
        clock,
        events,
        VertxConnectionOutput,
        limits,
        maxConnections,
        recordClosed
    )

    /** Keeps the limits of connections, until cancelled. */
    public suspend fun watchConnections(): Unit = connections.watch()

    /** Starts serving readiness checks on [ready] and metrics on [metricsAddress]. */
    public suspend fun start(ready: HostPort, metricsAddress: HostPort) {
        val listener = CallerListener(vertx, connections, limits, translator)
        listener.listen(ready, refuseHead = ::refuseHead) { answer(it, ::ready) }
        listener.listen(metricsAddress, refuseHead = ::refuseHead) { answer(it, ::metrics) }
    }

    /** Applies limits that have changed to the open connections. */
    public fun configured(): Unit = connections.limitsChanged()

    private fun answer(request: HttpServerRequest, send: (HttpServerResponse) -> Future<Void>) {
        val open = connections.requestStarted(request.connection(), id = null)
        val sent = send(request.response())
        connections.answerEnded(open)
        sent.onComplete { connections.requestEnded(request.connection(), open) }
    }

    private fun ready(response: HttpServerResponse): Future<Void> {
        val reason = unreadyReason()
        if (reason != null) response.setStatusCode(UNAVAILABLE)
        return response.end(reason ?: "ready")
    }

    private fun metrics(response: HttpServerResponse): Future<Void> =
        response.putHeader("content-type", METRICS_TYPE).end(metrics.scrape())

    private fun refuseHead(request: HttpServerRequest, refusal: InputRefusal): Unit =
        answer(request) {
            it.setStatusCode(refusal.status).putHeader("Connection", "close")
                .end("${refusal.code}\n")
        }

    private companion object {
        const val UNAVAILABLE = 503
        const val METRICS_TYPE = "text/plain; version=0.0.4"
    }
}
