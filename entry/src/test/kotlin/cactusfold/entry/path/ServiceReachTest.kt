package cactusfold.entry.path

import cactusfold.entry.path.EntryFixture.Companion.eventually
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** An entry process finds out that it is cut off from the upstreams of a service. */
class ServiceReachTest {
    private val fixture = EntryFixture()
    private val links = mutableListOf<RunnerLink>()
    private val calls = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val http = HttpClient.newHttpClient()

    @AfterEach
    fun close() {
        calls.shutdownNow()
        fixture.close()
        links.forEach { it.close() }
    }

    /** Starts [count] upstreams of `desk`, which are reached by links only. */
    private fun start(count: Int) {
        repeat(count) {
            val id = "i-$it"
            val row = fixture.runner(id, "desk").row("desk")
            val link = RunnerLink(row.getString("address").substringAfter(':').toInt())
            links += link
            fixture.store.put("servers", id, row.put("address", "127.0.0.1:${link.port}"))
        }
        fixture.start()
        repeat(count) { assertEquals(200, fixture.caller.call("/look/x").statusCode()) }
    }

    private fun call() {
        calls.execute {
            try {
                fixture.caller.call("/look/x")
            } catch (_: IOException) {
                // The test has ended.
            } catch (_: InterruptedException) {
                // The test has ended.
            }
        }
    }

    /** Calls ten times a second until [condition], and returns how long that took. */
    private fun callUntil(message: String, condition: () -> Boolean): Long {
        val startedAtNanos = System.nanoTime()
        var called = 0
        eventually(message) {
            val passedMillis = millisSince(startedAtNanos)
            if (passedMillis >= called * CALL_INTERVAL_MILLIS) {
                called++
                call()
            }
            condition()
        }
        return millisSince(startedAtNanos)
    }

    private fun millisSince(atNanos: Long): Long =
        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - atNanos)

    private fun cutServices(): Int {
        val uri = URI("http://127.0.0.1:${fixture.metrics}/metrics")
        val answer = http.send(
            HttpRequest.newBuilder(uri).build(),
            HttpResponse.BodyHandlers.ofString()
        )
        return answer.body().lines().first { it.startsWith("cactusfold_services_cut ") }
            .substringAfter(' ').toDouble().toInt()
    }

    @ParameterizedTest
    @EnumSource(RunnerLink.Cut::class)
    fun `a cut from all upstreams is found and its end too`(cut: RunnerLink.Cut) {
        start(count = 3)
        assertEquals(0, cutServices())
        links.forEach { it.cut(cut) }
        val foundMillis = callUntil("not found") { cutServices() == 1 }
        assertTrue(foundMillis < 2_500, "found after $foundMillis ms")
        links.forEach { it.restore() }
        val endedMillis = callUntil("not ended") { cutServices() == 0 }
        assertTrue(endedMillis < 1_500, "ended after $endedMillis ms")
    }

    @ParameterizedTest
    @EnumSource(RunnerLink.Cut::class)
    fun `a cut from all upstreams but one is none`(cut: RunnerLink.Cut) {
        start(count = 3)
        links.drop(1).forEach { it.cut(cut) }
        val startedAtNanos = System.nanoTime()
        callUntil("no end") {
            assertEquals(0, cutServices())
            millisSince(startedAtNanos) > 3_000
        }
    }

    @Test
    fun `an upstream that answers late is reached`() {
        start(count = 1)
        val slow = fixture.runner("i-slow", "desk")
        links.single().cut(RunnerLink.Cut.REFUSES)
        slow.answerDelayMillis = 2_000
        val startedAtNanos = System.nanoTime()
        callUntil("no end") {
            assertEquals(0, cutServices())
            millisSince(startedAtNanos) > 3_000
        }
    }

    private companion object {
        const val CALL_INTERVAL_MILLIS = 100L
    }
}
