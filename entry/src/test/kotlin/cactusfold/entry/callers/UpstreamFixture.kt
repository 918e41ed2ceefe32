package cactusfold.entry.callers

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.upstream.Upstream
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.WireHeaders
import cactusfold.platform.standin.RunnerStandin
import cactusfold.platform.standin.ScriptedUpstream
import cactusfold.platform.standin.ScriptedUpstream.Scripted
import cactusfold.ports.serving.UpstreamEntry
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.dispatcher
import java.util.concurrent.TimeUnit
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.runBlocking

/** Sends requests to upstreams that answer with bytes of a test's choice. */
class UpstreamFixture(onLeaving: (UpstreamStart) -> Unit = {}) : AutoCloseable {
    val vertx: Vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))

    private val sender = UpstreamSender(
        vertx,
        WireHeaders,
        MonotonicClock.SYSTEM,
        AnswerBodies(maxTotalBytes = 10_000_000),
        onLeaving
    ) { _, _, _ -> }

    fun upstream(port: Int): Upstream = Upstream(
        UpstreamEntry(
            "r", "s", "127.0.0.1", port, "z", 4, false, 1, null,
            persistentMapOf(), persistentSetOf(), persistentSetOf(), "v1"
        )
    )

    suspend fun send(to: ScriptedUpstream, id: String = "a"): SendEnd = send(upstream(to.port), id)

    suspend fun send(to: Upstream, id: String, method: HttpMethod = HttpMethod.POST): SendEnd {
        val headers = RunnerStandin.requestHeaders(id)
        val body = Buffer.buffer("{}")
        val request = UpstreamRequest(id, method, "/x", "h", headers, body, false)
        return sender.send(to, request, null) {}
    }

    /** Runs [test] on the event loop, with an upstream that answers as [answer] says. */
    fun <T> withUpstream(
        answer: (number: Int) -> Scripted,
        test: suspend CoroutineScope.(ScriptedUpstream) -> T
    ): T = ScriptedUpstream(answer).use { scripted ->
        runBlocking(vertx.orCreateContext.dispatcher()) { test(scripted) }
    }

    override fun close() {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS)
    }
}
