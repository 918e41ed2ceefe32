package cactusfold.entry.config

import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.table.ChangeFeed
import cactusfold.ports.table.FeedResult
import cactusfold.ports.table.RowChange
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class ConfigWatcherTest {
    private val clock = MonotonicClock { nowMillis }
    private var nowMillis = 10_000L
    private var isMember = true
    private val feed = CountingFeed()
    private val watcher = ConfigWatcher(
        feed,
        clock,
        EventLog("vm", clock, linesPerSecond = 1),
        KEY_WITHDRAWAL_MILLIS,
        isCoordinator = { false },
        isMember = { isMember }
    ) {}

    /** Returns the stored version from a snapshot; polls for changes stay open. */
    private class CountingFeed : ChangeFeed {
        var version = 1L
        var snapshots = 0
        var polls = 0

        override suspend fun snapshot(table: String): FeedResult {
            snapshots++
            val text = """{"version":$version,"routes":[],"services":[]}"""
            return FeedResult.Changes(
                listOf(RowChange("config", version, text.toByteArray())),
                version
            )
        }

        /** Ends a poll, without a change. */
        val pollEnds = Channel<Unit>()

        override suspend fun changes(table: String, position: Long, waitMillis: Long): FeedResult {
            polls++
            pollEnds.receive()
            return FeedResult.Changes(emptyList(), version)
        }
    }

    private fun watching(check: suspend () -> Unit): Unit = runBlocking {
        val watch: Job = launch(start = CoroutineStart.UNDISPATCHED) { watcher.run() }
        check()
        watch.cancel()
    }

    @Nested
    inner class ConfirmedByTheCoordinator {
        @Test
        fun `a confirmation counts from the time that it proves, without reading the store`() =
            watching {
                watcher.confirmed(version = 1, atMillis = nowMillis + 1_000)
                nowMillis += 5_000
                assertTrue(watcher.isFresh(nowMillis))
                nowMillis += 1_000
                assertFalse(watcher.isFresh(nowMillis))
                assertEquals(1 to 0, feed.snapshots to feed.polls)
            }

        @Test
        fun `an older confirmation does not shorten the present one`() = watching {
            watcher.confirmed(version = 1, atMillis = nowMillis - 4_000)
            nowMillis += 4_000
            assertTrue(watcher.isFresh(nowMillis))
        }

        @Test
        fun `a newer version is read at once, and its announcement confirms nothing`() = watching {
            feed.version = 2
            watcher.confirmed(version = 2, atMillis = nowMillis + 4_000)
            delay(PAUSE_MILLIS)
            assertEquals(2, watcher.current?.version)
            assertEquals(2 to 0, feed.snapshots to feed.polls)
            assertEquals(0, watcher.ageMillis(nowMillis))
        }
    }

    @Nested
    inner class WithoutConfirmations {
        @Test
        fun `a member whose coordinator can't confirm the version reads the store itself`() =
            watching {
                nowMillis += 1_600
                delay(CONFIRMED_MILLIS + CHECK_MILLIS)
                assertEquals(2, feed.snapshots)
                assertEquals(0, watcher.ageMillis(nowMillis))
            }

        @Test
        fun `a process that loses its coordinator reads the store and then follows it`() =
            watching {
                isMember = false
                watcher.roleChanged()
                delay(CHECK_MILLIS)
                assertEquals(2 to 1, feed.snapshots to feed.polls)
            }

        // Guards against members that poll for as long as they run: the end of each poll replaced
        // the newer confirmation by the time at which the poll began.
        @Test
        fun `a process that finds a coordinator during a poll reads nothing after it`() = watching {
            isMember = false
            watcher.roleChanged()
            delay(CHECK_MILLIS)
            isMember = true
            nowMillis += 1_800
            watcher.confirmed(version = 1, atMillis = nowMillis)
            feed.pollEnds.send(Unit)
            delay(CHECK_MILLIS)
            assertEquals(2 to 1, feed.snapshots to feed.polls)
            assertEquals(0, watcher.ageMillis(nowMillis))
        }
    }

    private companion object {
        const val CHECK_MILLIS = 400L

        /** How long a confirmation replaces a read: 0.3 of the bound on withdrawn keys. */
        const val CONFIRMED_MILLIS = 1_500L
        const val KEY_WITHDRAWAL_MILLIS = 5_000L
        const val PAUSE_MILLIS = 50L
    }
}
