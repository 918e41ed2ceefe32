package cactusfold.entry.path

import cactusfold.entry.path.EntryFixture.Companion.eventually
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

/** The whole path over real sockets, against stand-ins that speak the users' protocol. */
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
        fun `a stream reaches the caller whole and unchanged`() {
            val answer = fixture.caller.call("/draft/x", model = "warm")
            assertEquals(200 to whole, answer.statusCode() to answer.body())
            assertTrue(fixture.caller.isSealed(answer))
        }

        @Test
        fun `the runner learns the workspace and the time left, never the key`() {
            fixture.caller.call("/draft/x", model = "warm")
            val ran = runners.flatMap { it.ran }.single()
            assertEquals("w", ran.workspace)
            assertNull(ran.key)
            assertTrue(ran.requestTimeoutMillis!! in 1..4_000)
        }

        @Test
        fun `a model that no runner holds is loaded`() {
            assertEquals(200, fixture.caller.call("/draft/x", model = "cold").statusCode())
            assertEquals(listOf("loading" to "cold"), runners.flatMap { it.orders })
        }

        @Test
        fun `a model makes room for another, and memory is never ordered beyond its bound`() {
            listOf("cold", "other", "cold", "other").forEach {
                assertEquals(200, fixture.caller.call("/draft/x", model = it).statusCode(), it)
            }
        }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `an unknown key and an unknown route are told apart`() {
            assertEquals(401, fixture.caller.call("/look/x", key = "nobody").statusCode())
            assertEquals(404, fixture.caller.call("/nowhere/x").statusCode())
        }

        @Test
        fun `a request over its workspace's rate hears when to come back`() {
            fixture.operator.configure(version = 2, keys = listOf("key-1"), ratePerSecond = 15)
            eventually("the limit is not in force") {
                fixture.caller.call("/look/x").statusCode() ==
                    429
            }
            val refused = fixture.caller.call("/look/x")
            assertEquals(429, refused.statusCode())
            assertTrue(refused.headers().firstValue("Retry-After").get().toDouble() > 0)
        }

        @Test
        fun `a refusal that says not run is true`() {
            desk.behavior = RunnerBehavior.FULL
            assertEquals(503, fixture.caller.call("/book/x").statusCode())
            assertEquals(0, desk.ran.size)
        }
    }

    @Nested
    inner class Repetition {
        @Test
        fun `a request that may have run is not run again and not called refused`() {
            desk.behavior = RunnerBehavior.CLOSES_BEFORE_RESPONSE
            assertEquals(502, fixture.caller.call("/book/x").statusCode())
            assertEquals(1, desk.ran.size)
        }

        @Test
        fun `a stream that broke goes on at another runner after its last whole event`() {
            first.behavior = RunnerBehavior.CLOSES_MID_STREAM
            repeat(6) {
                assertEquals(whole, fixture.caller.call("/draft/x", model = "warm").body())
            }
            assertTrue(second.ran.any { it.lastEventId == "3" })
        }

        @Test
        fun `a stream at a runner that goes dark goes on at another`() {
            first.behavior = RunnerBehavior.STALLS_MID_STREAM
            repeat(6) {
                assertEquals(whole, fixture.caller.call("/draft/x", model = "warm").body())
            }
            assertTrue(second.ran.any { it.lastEventId == "3" })
        }

        @Test
        fun `a stream that must not run again ends as broken`() {
            runners.forEach { it.behavior = RunnerBehavior.CLOSES_MID_STREAM }
            assertFailsWith<IOException> { fixture.caller.call("/once/x", model = "warm") }
            assertEquals(1, runners.sumOf { it.ran.size })
        }

        @Test
        fun `an answer of another request never reaches the caller`() {
            desk.behavior = RunnerBehavior.SENDS_WRONG_REQUEST_ID
            assertEquals(502, fixture.caller.call("/book/x").statusCode())
        }
    }

    @Nested
    inner class Changes {
        @Test
        fun `a withdrawn key stops working`() {
            assertEquals(200, fixture.caller.call("/look/x").statusCode())
            fixture.operator.configure(version = 2, keys = listOf("key-2"))
            eventually("the key still works") { fixture.caller.call("/look/x").statusCode() == 401 }
            assertEquals(200, fixture.caller.call("/look/x", key = "key-2").statusCode())
        }

        @Test
        fun `an older or unreadable version changes nothing`() {
            fixture.operator.configure(version = 5, keys = listOf("key-5"))
            eventually("not in force") {
                fixture.caller.call("/look/x", key = "key-5").statusCode() == 200
            }
            fixture.operator.configure(version = 4, keys = listOf("key-1"))
            fixture.operator.write(JsonObject().put("version", 9))
            fixture.operator.configure(version = 10, keys = listOf("key-10"))
            eventually("a later version is not in force") {
                val older = fixture.caller.call("/look/x", key = "key-5").statusCode()
                assertTrue(older == 200 || older == 401, "status $older")
                fixture.caller.call("/look/x", key = "key-10").statusCode() == 200
            }
        }

        @Test
        fun `a draining runner gets nothing new`() {
            fixture.operator.register("i-1", first, "engine", state = "draining")
            eventually("it still gets requests") {
                val before = first.ran.size
                repeat(6) { fixture.caller.call("/draft/x", model = "warm") }
                first.ran.size == before
            }
        }

        @Test
        fun `a history that the store has forgotten is read anew`() {
            fixture.store.truncateHistory()
            fixture.operator.configure(version = 2, keys = listOf("key-2"))
            eventually("not in force") {
                fixture.caller.call("/look/x", key = "key-2").statusCode() == 200
            }
        }

        @Test
        fun `a process that can't know whether keys are withdrawn refuses and is not ready`() {
            fixture.store.isDown = true
            eventually("still ready") { fixture.readyStatus() == 503 }
            assertEquals(503, fixture.caller.call("/look/x").statusCode())
            assertEquals(0, desk.ran.size)
        }
    }
}
