package cactusfold.entry.path

import cactusfold.platform.standin.AnswerEnd
import cactusfold.platform.standin.AnswerFraming
import cactusfold.platform.standin.RawAnswer
import cactusfold.platform.standin.RunnerStandin
import java.net.http.HttpResponse
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** End-to-end tests of a prompt block that crashes the runners, in requests that all differ. */
class PoisonBlockTest {
    private lateinit var fixture: EntryFixture
    private lateinit var runners: List<RunnerStandin>
    private var count = 0

    @BeforeEach
    fun start() {
        fixture = EntryFixture()
        runners = (1..RUNNERS).map { fixture.runner("i-$it", "engine", setOf("warm")) }
        runners.forEach { it.poisonBlock = POISON }
        fixture.start()
    }

    @AfterEach
    fun stop() = fixture.close()

    private val crashes get() = runners.sumOf { it.crashes.get() }

    /** Sends a request that no other equals, with [blocks] and a last one of its own. */
    private fun call(vararg blocks: String): HttpResponse<String> {
        val id = count++
        val prompt = (blocks.toList() + "own$id").joinToString(",") { "$it:10" }
        return fixture.caller.call("/draft/x", "key-1", "warm", prompt, """{"n": $id}""")
    }

    @Nested
    inner class PoisonBlock {
        @Test
        fun `different requests with a poison block are refused after a few crashes`() {
            val refused = (1..ROUNDS).count {
                Thread.sleep(ROUND_MILLIS)
                "crashes-upstreams" in call("first", POISON).body()
            }
            assertTrue(crashes <= MAX_CRASHES, "$crashes crashes in $ROUNDS requests")
            assertTrue(refused >= ROUNDS / 2, "only $refused of $ROUNDS were refused")
        }

        // Guards against crashes that are overlooked because the answer before them, which has no
        // length, ends in order.
        @Test
        fun `a crash that ends the answer in order counts as one`() = assertFewCrashes()

        // Guards against a check that comes before the port of the crashed upstream is closed.
        @Test
        fun `a crash that ends the answer before the port counts as one`() {
            runners.forEach { it.portOpenMillis = 20 }
            assertFewCrashes()
        }

        private fun assertFewCrashes() {
            for (end in listOf(AnswerEnd.INSIDE_EVENT, AnswerEnd.WITHOUT_EVENTS)) {
                val answer = RawAnswer(AnswerFraming.CONNECTION_CLOSE, end, completeEvents = 0)
                runners.forEach {
                    it.poisonBlock = "$POISON$end"
                    it.poisonAnswer = answer
                }
                val before = crashes
                repeat(ROUNDS) {
                    Thread.sleep(ROUND_MILLIS)
                    call("first", "$POISON$end")
                }
                assertTrue(crashes - before <= MAX_CRASHES, "$end: ${crashes - before} crashes")
            }
        }

        @Test
        fun `sound requests that share the other blocks are served`() {
            val served = (1..ROUNDS).count {
                Thread.sleep(ROUND_MILLIS)
                call("first", "seldom$it", POISON)
                call("first", "seldom$it").statusCode() == 200
            }
            assertTrue(crashes <= MAX_CRASHES, "$crashes crashes in $ROUNDS requests")
            assertEquals(ROUNDS, served)
        }

        @Test
        fun `the last block, which belongs to one request, is not blamed`() {
            runners.forEach { it.poisonBlock = null }
            repeat(ROUNDS) { assertEquals(200, call("first").statusCode()) }
            assertEquals(0, crashes)
        }
    }

    private companion object {
        const val RUNNERS = 5
        const val ROUNDS = 16
        const val ROUND_MILLIS = 400L
        const val POISON = "dead10"

        /** The users allow five crashes before the bound on further requests holds. */
        const val MAX_CRASHES = 5
    }
}
