package cactusfold.router.callers

import cactusfold.router.CallerSettings
import io.vertx.core.AbstractVerticle
import io.vertx.core.DeploymentOptions
import io.vertx.core.Promise
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.kotlin.coroutines.coAwait
import java.util.function.Supplier

/** HTTP server for callers, on several event loops that share one port. */
public class CallerServer(
    private val vertx: Vertx,
    private val settings: CallerSettings,
    private val handler: CallerHandler
) {
    private var deployment: String? = null

    @Volatile
    private var boundPort = settings.address.port

    /** The bound port, once started. */
    public val port: Int get() = boundPort

    /** Starts listening. */
    public suspend fun start() {
        val options = DeploymentOptions().setInstances(settings.eventLoops)
        deployment = vertx.deployVerticle(Supplier { CallerVerticle() }, options).coAwait()
    }

    /** Stops listening. */
    public suspend fun stop() {
        deployment?.let { vertx.undeploy(it).coAwait() }
    }

    private inner class CallerVerticle : AbstractVerticle() {
        private lateinit var server: HttpServer

        override fun start(started: Promise<Void>) {
            val options = HttpServerOptions()
                .setMaxHeaderSize(settings.headerMaxBytes)
                .setTcpNoDelay(true)
                .setTcpKeepAlive(true)
            server = vertx.createHttpServer(options)
                .requestHandler { handler.accept(it, context) }
            server.listen(settings.address.port, settings.address.host).onComplete {
                if (it.succeeded()) {
                    boundPort = it.result().actualPort()
                    started.complete()
                } else {
                    started.fail(it.cause())
                }
            }
        }

        override fun stop(stopped: Promise<Void>) {
            server.close().onComplete { stopped.complete() }
        }
    }
}
