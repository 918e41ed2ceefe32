package cactusfold.entry.upstream

import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import kotlin.test.assertEquals
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class UpstreamDirectoryTest {
    private val clock = MonotonicClock.SYSTEM
    private val feed = FakeFeed()
    private val directory =
        UpstreamDirectory(feed, clock, EventLog("vm", clock, linesPerSecond = 100), "z") {
            UpstreamPolling.Coordinator
        }

    private fun row(state: String = "ready", startedAt: Long = FIRST_START): ByteArray =
        JsonObject().put("service", "s").put("address", "127.0.0.1:1").put("zone", "z")
            .put("version", "v1").put("slots", 4).put("state", state).put("warmup-ms", 0)
            .put("seq", 1).put("born", startedAt).put("models", JsonArray()).toBuffer().bytes

    /** Runs [test] while the directory follows the feed. */
    private fun following(test: suspend CoroutineScope.() -> Unit) = runBlocking {
        val running = launch { directory.run() }
        test()
        running.cancel()
    }

    /** Waits until all that was written so far has been read. */
    private suspend fun awaitRead() {
        val seen = feed.reads
        directory.markOutdated()
        withTimeout(TIMEOUT_MILLIS) {
            while (feed.reads < seen + 2) delay(CHECK_MILLIS)
        }
    }

    private fun usable(): List<String> = directory.usable.map { it.entry.id }

    @Nested
    inner class UnreadableRows {
        // Guards against a row that nobody can read and that hides the rows of other upstreams.
        @Test
        fun `other upstreams are followed beside a nested row`() = following {
            feed.put("a", "{\"a\":".repeat(6_000).toByteArray())
            feed.put("u", row())
            awaitRead()
            assertEquals(listOf("u"), usable())
            feed.put("u", row("draining"))
            feed.put("w", row())
            awaitRead()
            assertEquals(listOf("w"), usable())
        }

        // Guards against a grace period, meant for rows that are written again after an outage.
        @Test
        fun `an upstream whose row cannot be read is not used, also after an outage`() = following {
            feed.put("u", row())
            awaitRead()
            feed.isDown = true
            awaitRead()
            feed.isDown = false
            feed.put("u", byteArrayOf(1, 2, 3))
            awaitRead()
            assertEquals(emptyList(), usable())
            feed.put("u", row())
            awaitRead()
            assertEquals(listOf("u"), usable())
        }
    }

    private companion object {
        const val FIRST_START = 1_700_000_000_000
        const val TIMEOUT_MILLIS = 10_000L
        const val CHECK_MILLIS = 10L
    }
}
