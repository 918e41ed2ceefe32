package cactusfold.entry.path

import cactusfold.platform.standin.RunnerStandin
import io.vertx.core.json.JsonObject
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

/** An entry process in front of upstreams in two availability zones. */
class PlacesPathTest {
    private val fixture = EntryFixture(regionsByZone = mapOf("z1" to "east", "z2" to "west"))
    private val east = fixture.runner("i-1", "desk")
    private val west = fixture.runner("i-2", "desk").also { register("i-2", it, "z2") }

    private fun register(id: String, runner: RunnerStandin, zone: String, warmupMillis: Long = 0) =
        fixture.store.put(
            "servers",
            id,
            runner.row("desk").put("zone", zone).put("warmup-ms", warmupMillis)
        )

    private fun statuses(): Set<Int> =
        List(CALLS) { fixture.caller.call("/look/x").statusCode() }.toSet()

    @AfterEach
    fun stop() = fixture.close()

    // Guards against requests to a zone after the operator has been told that none are sent.
    @Test
    fun `an evacuated zone gets nothing until its row is removed, and the operator sees it`() {
        fixture.start()
        statuses()
        assertTrue(east.ran.isNotEmpty())
        fixture.store.put("op", "evacuate/z1", JsonObject())
        EntryFixture.eventually("not confirmed") { fixture.store.has("status", "evacuate/z1") }
        val before = east.arrivals.size
        assertEquals(setOf(200), statuses())
        assertEquals(before, east.arrivals.size)
        fixture.store.remove("op", "evacuate/z1")
        EntryFixture.eventually("not ended") { !fixture.store.has("status", "evacuate/z1") }
        statuses()
        assertTrue(east.arrivals.size > before)
    }

    // Guards against requests that leave the regions in which their data may be processed.
    @Test
    fun `requests reach upstreams in the homes of both the route and the workspace`() {
        fixture.operator.routeRegions = listOf("west", "north")
        fixture.start()
        assertEquals(setOf(200), statuses())
        assertEquals(0 to CALLS, east.ran.size to west.ran.size)
        fixture.operator.workspaceRegions = listOf("east")
        fixture.operator.configure(version = 2, keys = listOf("key-1"))
        EntryFixture.eventually("not in force") { statuses() == setOf(503) }
        val refused = fixture.caller.call("/look/x")
        assertEquals("no-upstream-in-home-regions\n", refused.body())
    }

    // Guards against a crash of an upstream that has just started by what it gets in one second.
    @Test
    fun `a cold upstream gets no more than it tolerates until its row says that it is warm`() {
        fixture.operator.coldPerSecond = 2.0
        fixture.store.remove("servers", "i-1")
        register("i-2", west, "z2", warmupMillis = 60_000)
        fixture.start()
        val untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS)
        while (System.nanoTime() < untilNanos) {
            CompletableFuture.allOf(
                *Array(CALLS) { CompletableFuture.supplyAsync { fixture.caller.call("/look/x") } }
            ).get()
        }
        val times = west.arrivals.map { TimeUnit.NANOSECONDS.toMillis(it.atNanos) }.sorted()
        val most = times.maxOf { from -> times.count { it in from until from + 1_000 } }
        assertTrue(most <= 1.5 * 2 + 5, "$most requests in a second")
        assertTrue(west.ran.isNotEmpty(), "nothing warmed it up")
        register("i-2", west, "z2")
        EntryFixture.eventually("still limited") { statuses() == setOf(200) }
    }

    private companion object {
        const val CALLS = 12
        const val SECONDS = 4L
    }
}
