package cactusfold.entry.path

import cactusfold.platform.standin.AnswerShape
import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import cactusfold.platform.standin.RunnerStandin
import kotlin.concurrent.thread
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

/** Runners that send and read nothing for a while, and then go on. */
class SilentRunnerTest {
    private val fixture = EntryFixture()
    private val links = HashMap<RunnerStandin, RunnerLink>()

    private fun join(id: String) {
        val runner = fixture.runner(id, "engine", setOf("warm"))
        runner.eventText = "event"
        runner.shapeOf = { AnswerShape(events = EVENTS, eventDelayMillis = EVENT_MILLIS) }
        val row = runner.row("engine")
        val link = RunnerLink(row.getString("address").substringAfter(':').toInt())
        links[runner] = link
        fixture.store.put("servers", id, row.put("address", "127.0.0.1:${link.port}"))
    }

    @AfterEach
    fun close() {
        fixture.close()
        links.values.forEach { it.close() }
    }

    /** Calls a stream whose runner falls silent once it has begun to run it. */
    private fun callThroughSilence(): CallEnd {
        val ranBefore = links.keys.associateWith { it.ran.size }
        val silencing = thread {
            val (_, link) = EntryFixture.eventuallyNotNull("no stream began") {
                links.entries.firstOrNull { (runner, _) ->
                    runner.ran.size > ranBefore.getValue(runner)
                }
            }
            link.silence(SILENT_MILLIS)
        }
        return CallerConnection(fixture.callers).use {
            it.send("/draft/x", "warm")
            it.receive()
        }.also { silencing.join() }
    }

    // Guards against a stream that is cut because its runner was silent for a second: the first
    // stream of a runner, whose start is not confirmed yet, cannot go on anywhere else.
    @Test
    fun `a stream whose runner is silent right after its first event is sent completely`() {
        listOf("i-1", "i-2").forEach(::join)
        fixture.start()
        val whole = (1..EVENTS).joinToString("") { "id: $it\ndata: event $it\n\n" }
        repeat(STREAMS) {
            val end = callThroughSilence()
            assertEquals(whole, assertIs<CallEnd.Answered>(end, "$end").body)
        }
    }

    private companion object {
        const val EVENTS = 6
        const val EVENT_MILLIS = 60L
        const val SILENT_MILLIS = 1_500L

        /** Enough for both runners to be chosen. */
        const val STREAMS = 6
    }
}
