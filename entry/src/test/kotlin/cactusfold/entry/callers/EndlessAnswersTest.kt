package cactusfold.entry.callers

import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.WireHeaders
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Future
import io.vertx.core.Handler
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpServerResponse
import java.lang.reflect.Proxy
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Upstreams that send bytes without end, beside others that answer as they should. */
class EndlessAnswersTest {
    private class FakeResponse {
        private val handlers = HashMap<String, Handler<Any?>>()
        val response = Proxy.newProxyInstance(
            javaClass.classLoader,
            arrayOf(HttpClientResponse::class.java)
        ) { proxy, method, arguments ->
            @Suppress("UNCHECKED_CAST")
            (arguments?.firstOrNull() as? Handler<Any?>)?.let { handlers[method.name] = it }
            proxy
        } as HttpClientResponse

        fun send(bytes: Int): Unit =
            handlers.getValue("handler").handle(Buffer.buffer("x".repeat(bytes)))

        fun end(): Unit = handlers.getValue("endHandler").handle(null)
    }

    @Nested
    inner class Bodies {
        private val bodies = AnswerBodies(maxBytes = 1_000, maxTotalBytes = 1_500)

        @Test
        fun `a body without end is given up at the limit and frees its memory`() = runBlocking {
            val endless = FakeResponse()
            val read = async(start = CoroutineStart.UNDISPATCHED) { bodies.read(endless.response) }
            repeat(11) { endless.send(100) }
            assertNull(read.await())
            assertEquals(0, bodies.totalBytes)
        }

        @Test
        fun `many bodies without end give way to a short one, which arrives whole`() = runBlocking {
            val endless = List(20) { FakeResponse() }
            val reads = endless.map {
                async(start = CoroutineStart.UNDISPATCHED) { bodies.read(it.response) }
            }
            val sound = FakeResponse()
            val answer = async(start = CoroutineStart.UNDISPATCHED) { bodies.read(sound.response) }
            sound.send(10)
            repeat(12) {
                endless.forEach { it.send(100) }
                yield()
                assertFalse(bodies.totalBytes > 1_500, "${bodies.totalBytes} bytes are held")
            }
            sound.send(10)
            sound.end()
            assertEquals(20, answer.await()?.length())
            assertEquals(20, reads.count { it.await() == null })
        }
    }

    @Nested
    inner class Events {
        private val written = Buffer.buffer()
        private val response = Proxy.newProxyInstance(
            javaClass.classLoader,
            arrayOf(HttpServerResponse::class.java)
        ) { _, method, arguments ->
            if (method.name == "write") written.appendBuffer(arguments.first() as Buffer)
            when {
                method.name == "write" -> Future.succeededFuture<Void>()
                method.name == "headers" -> MultiMap.caseInsensitiveMultiMap()
                method.returnType == Boolean::class.javaPrimitiveType -> false
                else -> null
            }
        } as HttpServerResponse

        @Test
        fun `complete events before one without end reach the caller`() = runBlocking {
            val clock = MonotonicClock.SYSTEM
            val held = HeldStreams(1_000, clock, EventLog("vm", clock, 10), SimpleMeterRegistry())
            val reply = CallerReply(response, WireHeaders, clock, null, held.open {}) { false }
            val headers = MultiMap.caseInsensitiveMultiMap()
            reply.begin(AnswerStart(200, headers, WireHeaders.answer(200, headers)))
            val complete = "id: 1\ndata: a\n\n"
            val check = reply.write(Buffer.buffer(complete + "x".repeat(70_000)))
            assertIs<StreamCheck.Unsound>(check)
            assertEquals(complete, written.toString())
            assertEquals("1", reply.lastEventId)
        }
    }
}
