package cactusfold.entry.callers

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.upstream.Upstream
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.WireHeaders
import cactusfold.platform.standin.RunnerStandin
import cactusfold.platform.standin.ScriptedUpstream
import cactusfold.platform.standin.ScriptedUpstream.Companion.answer
import cactusfold.platform.standin.ScriptedUpstream.Scripted
import cactusfold.ports.serving.UpstreamEntry
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.dispatcher
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class UpstreamSenderTest {
    private val upstreamVertx = Vertx.vertx()
    private val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))
    private val runner = RunnerStandin(upstreamVertx, "r", emptySet()).apply { start() }
    private val leaving = mutableListOf<UpstreamStart>()
    private val sender = UpstreamSender(
        vertx,
        WireHeaders,
        MonotonicClock.SYSTEM,
        AnswerBodies(maxTotalBytes = 10_000_000),
        leaving::add
    ) { _, _, _ -> }

    @AfterEach
    fun close() {
        for (each in listOf(vertx, upstreamVertx)) {
            each.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS)
        }
    }

    private fun upstream(port: Int) = Upstream(
        UpstreamEntry(
            "r", "s", "127.0.0.1", port, "z", 4, false, 1, null,
            persistentMapOf(), persistentSetOf(), persistentSetOf(), "v1"
        )
    )

    private suspend fun send(): SendEnd =
        send(upstream(runner.row("s").getString("address").substringAfter(':').toInt()))

    private suspend fun send(to: Upstream, id: String = "a"): SendEnd {
        val headers = RunnerStandin.requestHeaders(id)
        val body = Buffer.buffer("{}")
        val request = UpstreamRequest(id, HttpMethod.POST, "/x", "h", headers, body, false)
        return sender.send(to, request, null) {}
    }

    /** Runs [test] on the event loop, with an upstream that answers as [answer] says. */
    private fun withUpstream(
        answer: (number: Int) -> Scripted,
        test: suspend CoroutineScope.(ScriptedUpstream) -> Unit
    ) = ScriptedUpstream(answer).use { scripted ->
        runBlocking(vertx.orCreateContext.dispatcher()) { test(scripted) }
    }

    @Nested
    inner class LeavingUpstreams {
        // Guards against a departure that is overlooked, as its answer belongs to no request here.
        @Test
        fun `an answer to another request also says that its upstream leaves`() = withUpstream(
            { Scripted(answer("x", id = "another", isLeaving = true)) }
        ) {
            assertIs<SendEnd.Broken>(send(upstream(it.port)))
            assertEquals(listOf(UpstreamStart("r", 1)), leaving)
        }

        // Guards against a request that was selected before its upstream said that it leaves.
        @Test
        fun `nothing is written to an upstream that leaves while it is being connected`() =
            withUpstream({ Scripted(answer("x")) }) {
                val upstream = upstream(it.port)
                val sending = async(start = CoroutineStart.UNDISPATCHED) { send(upstream) }
                upstream.isLeaving = true
                assertEquals(SendEnd.Unsent, sending.await())
                assertEquals(0, it.requests.get())
            }
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
