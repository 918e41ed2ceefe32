package cactusfold.entry.path

import cactusfold.platform.standin.AnswerEnd
import cactusfold.platform.standin.AnswerFraming
import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import cactusfold.platform.standin.RawAnswer
import cactusfold.platform.standin.RunnerBehavior
import cactusfold.platform.standin.RunnerStandin
import kotlin.concurrent.thread
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Streams of a service whose runners have two software versions. */
class StreamVersionTest {
    private lateinit var fixture: EntryFixture
    private lateinit var old: RunnerStandin
    private val brokenOff =
        RawAnswer(AnswerFraming.CONNECTION_CLOSE, AnswerEnd.RESET, endDelayMillis = 5)

    @BeforeEach
    fun start() {
        fixture = EntryFixture()
        old = fixture.runner("i-1", "engine", setOf("warm")).apply { eventText = "v1" }
        fixture.start()
    }

    @AfterEach
    fun stop() = fixture.close()

    private fun join(id: String, version: String): RunnerStandin =
        fixture.runner(id, "engine", setOf("warm"), version).apply { eventText = version }

    private fun events(version: String, numbers: IntRange): String =
        numbers.joinToString("") { "id: $it\ndata: $version $it\n\n" }

    private fun call(
        resumes: Pair<String?, Int>? = null,
        path: String = "/draft/x"
    ): Pair<String, CallEnd> = CallerConnection(fixture.callers).use {
        val id = it.send(path, "warm", resumes = resumes)
        id to it.receive()
    }

    /**
     * Begins a stream at version `v1`, which breaks off after the third event, and returns its id.
     */
    private fun beginStream(): String {
        old.rawAnswer = brokenOff
        val (id, end) = call()
        assertEquals(events("v1", 1..3), assertIs<CallEnd.Cut>(end, "$end").body)
        return id
    }

    private fun assertNewStreamsBeginAt(version: String) = EntryFixture.eventually(version) {
        val end = call().second
        end is CallEnd.Answered && end.body == events(version, 1..RunnerStandin.EVENTS)
    }

    @Nested
    inner class WithinOneAnswer {
        // Guards against events of two software versions in one answer.
        @Test
        fun `a stream does not go on at another version`() {
            join("i-2", "v2")
            assertNewStreamsBeginAt("v2")
            old.rawAnswer = brokenOff
            EntryFixture.eventually("v1 was not chosen") {
                when (val end = call().second) {
                    is CallEnd.Cut -> end.body == events("v1", 1..3)
                    is CallEnd.Answered -> {
                        assertEquals(events("v2", 1..RunnerStandin.EVENTS), end.body)
                        false
                    }
                }
            }
        }

        @Test
        fun `a stream goes on at another runner of its version`() {
            join("i-2", "v2")
            val other = join("i-3", "v1")
            EntryFixture.eventually("the other runner was not chosen") {
                call()
                other.ran.isNotEmpty()
            }
            old.rawAnswer = brokenOff
            val sentBefore = old.ran.size
            var calls = 0
            EntryFixture.eventually("no stream broke off") {
                val end = assertIs<CallEnd.Answered>(call().second)
                val whole = listOf("v1", "v2").map { events(it, 1..RunnerStandin.EVENTS) }
                assertTrue(end.body in whole, end.body)
                ++calls >= CALLS && old.ran.size > sentBefore
            }
        }
    }

    /** Streams of a version of which no other runner has their model. */
    @Nested
    inner class WithoutModel {
        private fun joinWithoutModel() =
            fixture.runner("i-2", "engine", emptySet()).apply { eventText = "v1" }

        // Guards against streams that are cut although a runner of their version could load the
        // model.
        @Test
        fun `a stream goes on at a runner of its version that loads its model`() {
            joinWithoutModel()
            old.rawAnswer = brokenOff.copy(endDelayMillis = LEAVING_MILLIS)
            val leaving = thread {
                EntryFixture.eventually("no stream began") { old.ran.isNotEmpty() }
                fixture.store.remove("servers", "i-1")
            }
            val end = assertIs<CallEnd.Answered>(call().second)
            leaving.join()
            assertEquals(events("v1", 1..RunnerStandin.EVENTS), end.body)
        }

        @Test
        fun `a stream is taken up at a runner of its version that loads its model`() {
            val id = beginStream()
            joinWithoutModel()
            join("i-3", "v2")
            assertNewStreamsBeginAt("v2")
            fixture.store.remove("servers", "i-1")
            EntryFixture.eventually("the stream does not go on") {
                val end = call(id to 3).second
                end is CallEnd.Answered && end.body == events("v1", 4..RunnerStandin.EVENTS)
            }
        }
    }

    /** Upstreams that have restarted with another version under their id, of which nobody knows. */
    @Nested
    inner class Restarted {
        private fun restart(runner: RunnerStandin) {
            runner.restarted()
            runner.softwareVersion = "v2"
            runner.eventText = "v2"
        }

        private fun joinAndAwait(id: String): RunnerStandin = join(id, "v1").also {
            EntryFixture.eventually("$id was not chosen") {
                call()
                it.ran.isNotEmpty()
            }
        }

        /**
         * Calls until [runner] was chosen, and checks that no stream holds events of two versions.
         */
        private fun assertNotJoined(runner: RunnerStandin) {
            val sentBefore = runner.ran.size
            var calls = 0
            EntryFixture.eventually("the runner was not chosen") {
                val body = when (val end = call().second) {
                    is CallEnd.Answered -> end.body
                    is CallEnd.Cut -> end.body
                }
                assertFalse("v1" in body && "v2" in body, body)
                ++calls >= CALLS && runner.ran.size > sentBefore
            }
        }

        @Test
        fun `a stream that began there does not go on at the registered version`() {
            joinAndAwait("i-3")
            restart(old)
            old.rawAnswer = brokenOff
            assertNotJoined(old)
        }

        @Test
        fun `a stream of the registered version does not go on there`() {
            restart(joinAndAwait("i-3"))
            old.rawAnswer = brokenOff
            assertNotJoined(old)
        }

        @Test
        fun `a stream that began there is not taken up at the registered version`() {
            restart(old)
            old.rawAnswer = brokenOff
            val (id, end) = call()
            assertEquals(events("v2", 1..3), assertIs<CallEnd.Cut>(end, "$end").body)
            old.behavior = RunnerBehavior.FULL
            join("i-3", "v1")
            EntryFixture.eventually("i-3 was not chosen") { call().second is CallEnd.Answered }
            repeat(CALLS) {
                assertEquals(503, assertIs<CallEnd.Answered>(call(id to 3).second).status)
            }
        }
    }

    @Nested
    inner class TakenUp {
        private fun retire() {
            fixture.store.remove("servers", "i-1")
            assertNewStreamsBeginAt("v2")
        }

        // Guards against a stream that a caller takes up after its version is gone.
        @Test
        fun `a stream is refused when its version is gone`() {
            val id = beginStream()
            join("i-2", "v2")
            retire()
            val end = assertIs<CallEnd.Answered>(call(id to 3).second)
            assertEquals(503, end.status)
        }

        @Test
        fun `a stream goes on at its version while another one serves`() {
            val id = beginStream()
            join("i-2", "v2")
            old.rawAnswer = null
            assertNewStreamsBeginAt("v2")
            repeat(CALLS) {
                val end = assertIs<CallEnd.Answered>(call(id to 3).second)
                assertEquals(events("v1", 4..RunnerStandin.EVENTS), end.body)
            }
        }

        // Guards against a guess where nothing is known of the stream.
        @Test
        fun `a stream of unknown version is refused while two versions serve`() {
            join("i-2", "v2")
            assertNewStreamsBeginAt("v2")
            for (id in listOf("unknown", null)) {
                val end = assertIs<CallEnd.Answered>(call(id to 3).second)
                assertEquals(503, end.status)
            }
        }

        // Guards against a guess that the service of the route is that at which the stream began.
        @Test
        fun `a stream of unknown service is refused after its route moved`() {
            fixture.operator.timeoutMillis = SHORT_TIMEOUT_MILLIS
            fixture.operator.addedEngines = listOf("engine-2")
            fixture.runner("i-2", "engine-2", setOf("warm"))
            configure(version = 2)
            EntryFixture.eventually("no route of the other service") {
                call(path = "/engine-2/x").second.let { it is CallEnd.Answered && it.status == 200 }
            }
            // Until then, each service may have had another version before it was recorded.
            Thread.sleep(3 * SHORT_TIMEOUT_MILLIS)
            fixture.operator.resumableService = "engine-2"
            configure(version = 3)
            assertNewStreamsBeginAt("piece")
            val end = assertIs<CallEnd.Answered>(call("unknown" to 3).second)
            assertEquals(503, end.status)
        }

        private fun configure(version: Int) =
            fixture.operator.configure(version, keys = listOf("key-1"))

        @Test
        fun `a stream of unknown version goes on where only one version has served for long`() {
            EntryFixture.eventually("still refused") {
                val end = call("unknown" to 3).second
                end is CallEnd.Answered && end.body == events("v1", 4..RunnerStandin.EVENTS)
            }
        }
    }

    private companion object {
        /** Enough for each of the runners to be chosen. */
        const val CALLS = 8

        /** Long enough to read that an upstream is gone. */
        const val LEAVING_MILLIS = 500L

        /** Callers may return to streams for twice as long. */
        const val SHORT_TIMEOUT_MILLIS = 1_000L
    }
}
