package cactusfold.entry.soak

import cactusfold.entry.path.PlatformFixture
import cactusfold.platform.standin.CallerStandin
import cactusfold.platform.standin.RunnerStandin
import java.io.IOException
import java.net.http.HttpResponse
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/**
 * Fourteen entry processes in front of two upstreams that state a limit, the only one of a service
 * and one of two; the coordinator is killed in the middle.
 */
class FleetLimitTest {
    // Guards against VMs that each keep an upstream's limit by themselves, or not at all, so that
    // all of them together exceed it.
    @Test
    fun `an upstream gets no more than the limit that it states for all VMs`() {
        for (upstream in listOf(run.only, run.oneOfTwo)) {
            val worst = run.worstWindow(upstream)
            assertTrue(worst <= ALLOWED_IN_WINDOW, "$worst requests within $WINDOW_MILLIS ms")
        }
    }

    // Guards against keeping the limit by sending hardly anything.
    @Test
    fun `an upstream gets nearly all requests that its limit allows`() {
        val leastRequests = LIMIT_PER_SECOND * TimeUnit.MILLISECONDS.toSeconds(RUN_MILLIS) * 0.7
        for (upstream in listOf(run.only, run.oneOfTwo)) {
            val arrived = run.arrivedWhileLimited(upstream)
            assertTrue(arrived >= leastRequests, "only $arrived requests")
        }
    }

    @Nested
    inner class Callers {
        @Test
        fun `requests that another upstream can serve move on to it`() {
            val failed = run.calls.filter { it.path == DRAFT && it.status != OK }
            assertEquals(emptyList(), failed)
        }

        @Test
        fun `requests beyond the limit are refused soon and told when to come back`() {
            val refused = run.calls.filter { it.path == LOOK && it.status != OK }
            assertTrue(refused.isNotEmpty(), "no request was refused")
            val wrong = refused.filterNot {
                it.status == UNAVAILABLE &&
                    it.retryAfterSeconds != null &&
                    it.retryAfterSeconds > 0 &&
                    it.tookMillis < SOON_MILLIS
            }
            assertEquals(emptyList(), wrong)
        }
    }

    private data class Call(
        val vm: String,
        val path: String,
        val status: Int,
        val retryAfterSeconds: Double?,
        val tookMillis: Long
    )

    private class Run {
        private val platform = PlatformFixture()
        val only: RunnerStandin = platform.runner("d-1", "desk")
        val oneOfTwo: RunnerStandin = platform.runner("e-1", "engine", setOf("warm"))
        val calls = ConcurrentLinkedQueue<Call>()
        private var limitedAtNanos = 0L
        private var endedAtNanos = 0L

        @Volatile
        private var isOver = false

        init {
            platform.runner("e-2", "engine", setOf("warm"))
            platform.operator.configure(1, listOf("key-1"))
            platform.use { serve() }
        }

        private fun serve() {
            val fleet = (1..VMS).map { EntryJvm("limit", "vm$it", platform.store.port, 4_000) }
            try {
                fleet.forEach(EntryJvm::awaitServing)
                limitedAtNanos = System.nanoTime()
                listOf(only, oneOfTwo).forEach { it.statedLimit = "$LIMIT_PER_SECOND" }
                val callers = fleet.map { thread { callUntilOver(it) } }
                Thread.sleep(RUN_MILLIS / 2)
                coordinatorOf(fleet).close()
                Thread.sleep(RUN_MILLIS / 2)
                endedAtNanos = System.nanoTime()
                isOver = true
                callers.forEach(Thread::join)
            } finally {
                isOver = true
                fleet.forEach(EntryJvm::close)
            }
        }

        private fun coordinatorOf(fleet: List<EntryJvm>): EntryJvm =
            fleet.single { vm -> vm.output().any { "\"lease-taken\"" in it } }

        private fun callUntilOver(entry: EntryJvm) {
            val caller = CallerStandin(entry.callersPort)
            while (!isOver && entry.isAlive) {
                for ((path, model) in listOf(LOOK to null, DRAFT to "warm")) {
                    val sentAtNanos = System.nanoTime()
                    try {
                        val answer = caller.call(path, model = model)
                        calls += callOf(entry, path, answer, millisSince(sentAtNanos))
                    } catch (e: IOException) {
                        if (entry.isAlive && !entry.awaitExit(EXIT_MILLIS)) throw e
                    }
                    Thread.sleep(PAUSE_MILLIS)
                }
            }
        }

        private fun callOf(
            entry: EntryJvm,
            path: String,
            answer: HttpResponse<String>,
            tookMillis: Long
        ) = Call(
            entry.vm,
            path,
            answer.statusCode(),
            answer.headers().firstValue("Retry-After").map { it.toDouble() }.orElse(null),
            tookMillis
        )

        /** Returns the most requests in any window from the time on in which all VMs know. */
        fun worstWindow(upstream: RunnerStandin): Int {
            val fromNanos = limitedAtNanos + TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS)
            val windowNanos = TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS)
            val arrivals = upstream.arrivals.map { it.atNanos }.filter {
                it in
                    fromNanos..endedAtNanos
            }
            return arrivals.maxOfOrNull { first ->
                arrivals.count { it - first in 0 until windowNanos }
            } ?: 0
        }

        fun arrivedWhileLimited(upstream: RunnerStandin): Int =
            upstream.arrivals.count { it.atNanos in limitedAtNanos..endedAtNanos }

        private fun millisSince(nanos: Long): Long =
            TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos)
    }

    private companion object {
        const val VMS = 14
        const val LIMIT_PER_SECOND = 1
        const val RUN_MILLIS = 20_000L

        /** Time after which the users hold the fleet to a limit that one VM was told of. */
        const val CONTACT_MILLIS = 3_000L
        const val WINDOW_MILLIS = 4_000L

        /** One and a half times what the limit allows, and five requests. */
        const val ALLOWED_IN_WINDOW = 1.5 * 4 * LIMIT_PER_SECOND + 5

        const val LOOK = "/look/x"
        const val DRAFT = "/draft/x"
        const val OK = 200
        const val UNAVAILABLE = 503

        /** The routes' latency target; their time limit is four times as long. */
        const val SOON_MILLIS = 1_000L
        const val PAUSE_MILLIS = 200L

        /** A process that was killed is gone within this time after its connections. */
        const val EXIT_MILLIS = 1_000L

        val run: Run by lazy { Run() }
    }
}
