package cactusfold.entry.path

import cactusfold.entry.path.EntryFixture.Companion.eventually
import cactusfold.entry.path.EntryFixture.Companion.eventuallyNotNull
import cactusfold.platform.standin.RunnerBehavior
import cactusfold.platform.standin.RunnerStandin
import io.vertx.core.json.JsonObject
import java.io.IOException
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** End-to-end tests over real sockets, against stand-ins that speak the platform's protocol. */
class EntryPathTest {
    private lateinit var fixture: EntryFixture
    private lateinit var first: RunnerStandin
    private lateinit var second: RunnerStandin
    private lateinit var desk: RunnerStandin

    @BeforeEach
    fun start() {
        fixture = EntryFixture()
        first = fixture.runner("i-1", "engine", setOf("warm"))
        second = fixture.runner("i-2", "engine", setOf("warm"))
        desk = fixture.runner("i-3", "desk")
        fixture.start()
    }

    @AfterEach
    fun stop() = fixture.close()

    private val runners get() = listOf(first, second)
    private val whole = (1..RunnerStandin.EVENTS).joinToString("") {
        "id: $it\ndata: piece $it\n\n"
    }

    @Nested
    inner class Answers {
        @Test
        fun `a stream reaches the caller complete and unchanged`() {
            val answer = fixture.caller.call("/draft/x", model = "warm")
            assertEquals(200 to whole, answer.statusCode() to answer.body())
            assertTrue(fixture.caller.isSealed(answer))
        }

        @Test
        fun `the runner receives the workspace and the remaining time but not the key`() {
            fixture.caller.call("/draft/x", model = "warm")
            val ran = runners.flatMap { it.ran }.single()
            assertEquals("w", ran.workspace)
            assertNull(ran.key)
            assertTrue(ran.requestTimeoutMillis!! in 1..4_000)
        }

        @Test
        fun `a model that is not loaded anywhere is loaded on demand`() {
            assertEquals(200, fixture.caller.call("/draft/x", model = "cold").statusCode())
            assertEquals(listOf("loading" to "cold"), runners.flatMap { it.orders })
        }

        @Test
        fun `models are evicted for others without exceeding the memory of a runner`() {
            listOf("cold", "other", "cold", "other").forEach {
                assertEquals(200, fixture.caller.call("/draft/x", model = it).statusCode(), it)
            }
        }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `an unknown key gives 401 and an unknown route 404`() {
            assertEquals(401, fixture.caller.call("/look/x", key = "nobody").statusCode())
            assertEquals(404, fixture.caller.call("/nowhere/x").statusCode())
        }

        @Test
        fun `a request over its workspace's rate gets a retry delay`() {
            fixture.operator.configure(version = 2, keys = listOf("key-1"), ratePerSecond = 15)
            val refused = eventuallyNotNull("rate limit not in force") {
                fixture.caller.call("/look/x").takeIf { it.statusCode() == 429 }
            }
            assertTrue(refused.headers().firstValue("Retry-After").get().toDouble() > 0)
        }

        @Test
        fun `a request refused as not run was not run`() {
            desk.behavior = RunnerBehavior.FULL
            assertEquals(503, fixture.caller.call("/book/x").statusCode())
            assertEquals(0, desk.ran.size)
        }
    }

    @Nested
    inner class Retries {
        @Test
        fun `a request that may have run is neither retried nor reported as refused`() {
            desk.behavior = RunnerBehavior.CLOSES_BEFORE_RESPONSE
            assertEquals(502, fixture.caller.call("/book/x").statusCode())
            assertEquals(1, desk.ran.size)
        }

        @Test
        fun `a broken stream resumes on another runner after its last complete event`() {
            first.behavior = RunnerBehavior.CLOSES_MID_STREAM
            // The choice is random, so some calls may all go to the other runner.
            eventually("no stream was resumed") {
                assertEquals(whole, fixture.caller.call("/draft/x", model = "warm").body())
                second.ran.any { it.lastEventId == "3" }
            }
        }

        @Test
        fun `a stream on a runner that goes silent resumes on another runner`() {
            first.behavior = RunnerBehavior.STALLS_MID_STREAM
            // The choice is random, so some calls may all go to the other runner.
            eventually("no stream was resumed") {
                assertEquals(whole, fixture.caller.call("/draft/x", model = "warm").body())
                second.ran.any { it.lastEventId == "3" }
            }
        }

        @Test
        fun `a broken stream that must not be retried fails`() {
            runners.forEach { it.behavior = RunnerBehavior.CLOSES_MID_STREAM }
            assertFailsWith<IOException> { fixture.caller.call("/once/x", model = "warm") }
            assertEquals(1, runners.sumOf { it.ran.size })
        }

        @Test
        fun `a response that belongs to another request is not passed to the caller`() {
            desk.behavior = RunnerBehavior.SENDS_WRONG_REQUEST_ID
            val answer = fixture.caller.call("/book/x")
            assertEquals(502 to "upstream-failed\n", answer.statusCode() to answer.body())
        }
    }

    @Nested
    inner class LeavingAndPausedUpstreams {
        @Test
        fun `an upstream that says it leaves gets no further requests, its next start does`() {
            desk.behavior = RunnerBehavior.LEAVES
            assertEquals(200, fixture.caller.call("/look/x").statusCode())
            assertEquals(503, fixture.caller.call("/look/x").statusCode())
            assertEquals(1, desk.ran.size)
            desk.behavior = RunnerBehavior.NORMAL
            fixture.operator.register("i-3", desk.apply { restarted() }, "desk")
            eventually("the next start gets no requests") {
                fixture.caller.call("/look/x").statusCode() == 200
            }
        }

        // Guards against a departure that is forgotten with the registration, which may come back.
        @Test
        fun `an upstream that left gets no requests after its registration lapsed`() {
            desk.behavior = RunnerBehavior.LEAVES
            assertEquals(200, fixture.caller.call("/look/x").statusCode())
            fixture.store.remove("servers", "i-3")
            Thread.sleep(LAPSE_MILLIS)
            fixture.operator.register("i-3", desk, "desk")
            Thread.sleep(LAPSE_MILLIS)
            repeat(4) { assertEquals(503, fixture.caller.call("/look/x").statusCode()) }
            assertEquals(1, desk.ran.size)
        }

        @Test
        fun `an upstream that asks for a pause is sent nothing, and callers learn its length`() {
            desk.behavior = RunnerBehavior.ASKS_FOR_PAUSE
            val refused = List(5) { fixture.caller.call("/book/x") }
            assertEquals(setOf(503), refused.map { it.statusCode() }.toSet())
            assertEquals(1, desk.refusedForPause.get())
            val retryAfter = refused.last().headers().firstValue("Retry-After").get().toDouble()
            assertTrue(retryAfter in 1.0..2.0, "$retryAfter s")
        }
    }

    @Nested
    inner class AnswersWithoutEnd {
        @Test
        fun `a body without end is cut off and not passed on`() {
            desk.behavior = RunnerBehavior.SENDS_WITHOUT_END
            assertEquals(502, fixture.caller.call("/book/x").statusCode())
            desk.behavior = RunnerBehavior.NORMAL
            eventually("later requests fail") {
                fixture.caller.call("/book/x").statusCode() == 200
            }
        }

        @Test
        fun `an event without end is cut off, and the stream runs on another runner`() {
            first.behavior = RunnerBehavior.SENDS_WITHOUT_END
            repeat(6) {
                val answer = runCatching { fixture.caller.call("/draft/x", model = "warm").body() }
                assertTrue(answer.isFailure || answer.getOrThrow() == whole)
            }
            assertTrue(second.ran.isNotEmpty())
        }
    }

    @Nested
    inner class StoreRestoredFromOlderCopy {
        @Test
        fun `a configuration written after the restore comes in force, an older one does not`() {
            val kept = fixture.store.lastVersion
            fixture.operator.configure(version = 2, keys = listOf("key-2"))
            eventually("configuration not in force") {
                fixture.caller.call("/look/x", key = "key-2").statusCode() == 200
            }
            fixture.store.restore(kept)
            repeat(20) {
                assertEquals(401, fixture.caller.call("/look/x", key = "key-1").statusCode())
                Thread.sleep(50)
            }
            fixture.operator.configure(version = 2, keys = listOf("key-2"))
            fixture.operator.configure(version = 3, keys = listOf("key-3"))
            eventually("new configuration not in force") {
                fixture.caller.call("/look/x", key = "key-3").statusCode() == 200
            }
        }

        @Test
        fun `upstreams whose rows were lost are kept until they are written again`() {
            val kept = fixture.store.lastVersion
            val late = fixture.runner("i-4", "desk")
            eventually("new upstream gets no requests") {
                fixture.caller.call("/look/x")
                late.ran.isNotEmpty()
            }
            fixture.store.restore(kept)
            fixture.operator.register("i-4", late, "desk")
            repeat(40) {
                assertEquals(200, fixture.caller.call("/look/x").statusCode())
                Thread.sleep(25)
            }
        }
    }

    @Nested
    inner class Changes {
        @Test
        fun `a withdrawn key is rejected`() {
            assertEquals(200, fixture.caller.call("/look/x").statusCode())
            fixture.operator.configure(version = 2, keys = listOf("key-2"))
            eventually("key still accepted") { fixture.caller.call("/look/x").statusCode() == 401 }
            assertEquals(200, fixture.caller.call("/look/x", key = "key-2").statusCode())
        }

        @Test
        fun `an older or unreadable configuration is ignored`() {
            fixture.operator.configure(version = 5, keys = listOf("key-5"))
            eventually("configuration not in force") {
                fixture.caller.call("/look/x", key = "key-5").statusCode() == 200
            }
            fixture.operator.configure(version = 4, keys = listOf("key-1"))
            fixture.operator.write(JsonObject().put("version", 9))
            fixture.operator.configure(version = 10, keys = listOf("key-10"))
            eventually("later configuration not in force") {
                val older = fixture.caller.call("/look/x", key = "key-5").statusCode()
                assertTrue(older == 200 || older == 401, "status $older")
                fixture.caller.call("/look/x", key = "key-10").statusCode() == 200
            }
        }

        @Test
        fun `a draining runner gets no new requests`() {
            fixture.operator.register("i-1", first, "engine", state = "draining")
            eventually("draining runner still gets requests") {
                val before = first.ran.size
                repeat(6) { fixture.caller.call("/draft/x", model = "warm") }
                first.ran.size == before
            }
        }

        @Test
        fun `the configuration is read anew after the store dropped its change history`() {
            fixture.store.truncateHistory()
            fixture.operator.configure(version = 2, keys = listOf("key-2"))
            eventually("configuration not in force") {
                fixture.caller.call("/look/x", key = "key-2").statusCode() == 200
            }
        }

        @Test
        fun `a process that may miss key withdrawals refuses requests and is not ready`() {
            fixture.store.isDown = true
            eventually("entry process still ready") { fixture.readyStatus() == 503 }
            assertEquals(503, fixture.caller.call("/look/x").statusCode())
            assertEquals(0, desk.ran.size)
        }
    }

    private companion object {
        /** Longer than a process takes to read the upstreams' rows. */
        const val LAPSE_MILLIS = 1_000L
    }
}
