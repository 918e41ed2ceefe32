package cactusfold.entry.fleet

import cactusfold.entry.EntryBounds
import cactusfold.entry.EntryProcess
import cactusfold.entry.EntrySettings
import cactusfold.entry.path.EntryFixture.Companion.eventually
import cactusfold.entry.path.FreePorts
import cactusfold.entry.path.PlatformFixture
import cactusfold.entry.rate.RateTolerance
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.standin.CallerStandin
import cactusfold.settings.schema.HostPort
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.dispatcher
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test

/** Counts the calls of several processes to the store, by table. */
class FleetStoreCallsTest {
    private class Member(name: String, storePort: Int) : AutoCloseable {
        private val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))
        private val callers = FreePorts.next()
        private val ready = FreePorts.next()
        private val caller = CallerStandin(callers)
        private val process = EntryProcess(
            EntrySettings(
                name, "127.0.0.1", "z1", FreePorts.next(), FreePorts.next(),
                FreePorts.next(),
                HostPort("127.0.0.1", callers), HostPort("127.0.0.1", ready),
                HostPort("127.0.0.1", storePort),
                EntryBounds(
                    8_000,
                    5_000,
                    500,
                    0.2,
                    10_000,
                    100.0,
                    RateTolerance(8_000, 0.1, 100.0),
                    5_000
                )
            ),
            vertx,
            vertx.orCreateContext.dispatcher(),
            MonotonicClock.SYSTEM,
            name,
            1_000
        )

        val isReady: Boolean get() = caller.readyStatus(ready) == 200

        fun start() {
            process.listen()
            runBlocking { process.start() }
        }

        fun isServing(): Boolean = caller.call("/look/x").statusCode() == 200

        override fun close() {
            vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS)
        }
    }

    private val platform = PlatformFixture()
    private val store = platform.store
    private val otherPort = store.listenAlso()

    private fun calls(): Map<String, Int> = store.requestsByTable.toMap()

    private fun callsSince(before: Map<String, Int>): Map<String, Int> =
        calls().mapValues { (table, count) -> count - (before[table] ?: 0) }

    /** Returns the calls during [seconds], a second, in which [action] is run now and then. */
    private fun perSecond(seconds: Int, action: (Int) -> Unit = {}): Map<String, Double> {
        val before = calls()
        repeat(seconds * ACTIONS_PER_SECOND) {
            action(it)
            Thread.sleep(1_000L / ACTIONS_PER_SECOND)
        }
        return callsSince(before).mapValues { (_, count) -> count.toDouble() / seconds }
    }

    // Guards against calls that grow with the fleet: 2.5 a second for each of 84 VMs, measured.
    @Test
    fun `calls to the store do not grow with the number of members`() = platform.use {
        val runner = platform.runner("d-1", "desk")
        platform.operator.configure(version = 1, keys = listOf("key-1"))
        val members = List(MEMBERS) { Member("vm$it", if (it < 2) store.port else otherPort) }
        try {
            members.forEach { it.start() }
            eventually("not ready") { members.all { it.isReady } }
            val started = calls()
            println("start of $MEMBERS members: $started")
            assertTrue(started.values.sum() <= MEMBERS * MAX_START_CALLS, "$started")
            Thread.sleep(SETTLE_MILLIS)

            val idle = perSecond(seconds = 5)
            println("idle, calls a second: $idle")
            assertSteady(idle)

            val changes = perSecond(seconds = 5) {
                platform.operator.register("e-$it", runner, "desk")
                if (it > 0) store.remove("servers", "e-${it - 1}")
            }
            println("rows change, calls a second: $changes")
            assertSteady(changes)

            store.downPorts += otherPort
            val partly = perSecond(seconds = 4)
            println("store lost to members, calls a second: $partly")
            assertSteady(partly)
            assertTrue(members.all { it.isServing() })
            store.remove("servers", "d-1")
            store.remove("servers", "e-${5 * ACTIONS_PER_SECOND - 1}")
            eventually("an upstream that is gone is used") { members.none { it.isServing() } }
            platform.runner("d-2", "desk")
            eventually("rows were not passed on") { members.all { it.isServing() } }
            store.downPorts.clear()

            val before = calls()
            members.first().close()
            eventually("no takeover") { callsSince(before).getValue("lease") > 0 }
            val takeover = perSecond(seconds = 4)
            println("coordinator lost, calls a second: $takeover")
            assertTrue(takeover.values.sum() < (MEMBERS - 1) * MAX_LOST_PER_SECOND, "$takeover")
            assertSteady(perSecond(seconds = 4).also { println("after: $it") })

            store.isDown = true
            val down = perSecond(seconds = 4)
            println("store lost to all, calls a second: $down")
            assertTrue(down.values.sum() < MEMBERS * MAX_DOWN_PER_SECOND, "$down")
            assertTrue(down.getValue("lease") < MEMBERS * MAX_LEASE_PER_SECOND, "$down")
        } finally {
            members.drop(1).forEach { it.close() }
        }
    }

    /** The coordinator's own calls; those of members would come in multiples of their number. */
    private fun assertSteady(perSecond: Map<String, Double>) {
        assertTrue(perSecond.getValue("servers") < 3.0, "$perSecond")
        assertTrue(perSecond.getValue("lease") < 2.5, "$perSecond")
        assertTrue(perSecond.getValue("op") < 5.5, "$perSecond")
        assertEquals(0.0, perSecond["versions"] ?: 0.0, absoluteTolerance = 0.5)
        assertTrue(perSecond.values.sum() < 13.0, "$perSecond")
    }

    private companion object {
        const val MEMBERS = 8
        const val ACTIONS_PER_SECOND = 4
        const val SETTLE_MILLIS = 2_500L

        /** Configuration, rows, members, registration, lease and versions, some of them twice. */
        const val MAX_START_CALLS = 14

        /** Of each process without a coordinator: rows, configuration, lease, versions. */
        const val MAX_LOST_PER_SECOND = 6

        /** Pauses after failures: configuration 0.4 s, rows 0.8 s, lease 0.6 s, versions 1.5 s. */
        const val MAX_DOWN_PER_SECOND = 7

        /** The least pause between two reads of the lease row is 0.4 s. */
        const val MAX_LEASE_PER_SECOND = 2.5
    }
}
