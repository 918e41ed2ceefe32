package cactusfold.entry.callers

import cactusfold.entry.upstream.Upstream
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.WireHeaders
import cactusfold.platform.standin.RunnerStandin
import cactusfold.ports.serving.UpstreamEntry
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.dispatcher
import java.util.concurrent.TimeUnit
import kotlin.test.assertIs
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

class UpstreamSenderTest {
    private val upstreamVertx = Vertx.vertx()
    private val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))
    private val runner = RunnerStandin(upstreamVertx, "r", emptySet()).apply { start() }
    private val sender = UpstreamSender(
        vertx,
        WireHeaders,
        MonotonicClock.SYSTEM,
        AnswerBodies(maxTotalBytes = 10_000_000)
    ) { _, _, _ -> }

    @AfterEach
    fun close() {
        for (each in listOf(vertx, upstreamVertx)) {
            each.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS)
        }
    }

    private suspend fun send(): SendEnd {
        val port = runner.row("s").getString("address").substringAfter(':').toInt()
        val entry = UpstreamEntry(
            "r", "s", "127.0.0.1", port, "z", 4, false, 1, null,
            persistentMapOf(), persistentSetOf(), persistentSetOf(), "v1"
        )
        val headers = RunnerStandin.requestHeaders("a")
        val body = Buffer.buffer("{}")
        val request = UpstreamRequest("a", HttpMethod.POST, "/x", "h", headers, body, false)
        return sender.send(Upstream(entry), request, null) {}
    }

    // Guards against connections that are lost to the pool for good.
    @Test
    fun `callers that leave while their upstream is being connected leave no connection behind`() {
        val end = runBlocking(vertx.orCreateContext.dispatcher()) {
            repeat(CONNECTIONS) {
                launch(start = CoroutineStart.UNDISPATCHED) { send() }.cancel()
            }
            delay(CONNECT_MILLIS)
            send()
        }
        assertIs<SendEnd.Whole>(end)
    }

    private companion object {
        /** As many as the pool has for one upstream. */
        const val CONNECTIONS = 256
        const val CONNECT_MILLIS = 2_000L
    }
}
