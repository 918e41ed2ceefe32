package cactusfold.entry.path

import cactusfold.entry.path.EntryFixture.Companion.eventually
import cactusfold.platform.standin.RunnerStandin
import io.vertx.core.json.JsonObject
import kotlin.test.assertEquals
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Rows of other writers: a process follows the other rows, and requests reach their upstreams. */
class ForeignRowTest {
    private val fixture = EntryFixture()
    private val desk: RunnerStandin = fixture.runner("i-3", "desk")

    @AfterEach
    fun stop() = fixture.close()

    private fun row(): JsonObject = desk.row("desk")

    private fun put(table: String, values: List<ByteArray>) {
        values.forEachIndexed { i, value -> fixture.store.put(table, "a-$i", value) }
    }

    private fun assertServed() =
        repeat(REQUESTS) { assertEquals(200, fixture.caller.call("/look/x").statusCode()) }

    /** Asserts that requests are served, and that an upstream that joins gets some of them. */
    private fun assertFollowsOthers() {
        assertServed()
        val joining = fixture.runner("i-9", "desk")
        eventually("the upstream that joined gets no requests") {
            fixture.caller.call("/look/x")
            joining.ran.isNotEmpty()
        }
        assertServed()
        assertEquals(200, fixture.readyStatus())
    }

    @Nested
    inner class UnreadableRows {
        private val documents = listOf(
            "null", "0", "\"\"", "[]", "{", "{}", "\u0000", "9".repeat(60_000), "1e999999999",
            "[".repeat(60_000), "{\"a\":".repeat(12_000), "{\"a\":[".repeat(10_000)
        ).map { it.toByteArray() }

        private val addresses = listOf(
            "0",
            "-1",
            "65536",
            "2147483648",
            "9".repeat(60_000),
            "1e2",
            ""
        )
            .map { row().put("address", "127.0.0.1:$it").toBuffer().bytes }

        private val numbers = listOf("slots", "seq", "born", "warmup-ms").flatMap { name ->
            val fields = row().apply { remove(name) }.encode().dropLast(1)
            listOf("1e400", "-1e400", "9".repeat(400), "1E+99999", "\"4\"", "null").map {
                "$fields,\"$name\":$it}".toByteArray()
            }
        }

        // Guards against rows that end the task that reads them, again after each restart.
        @Test
        fun `a process starts beside many of them and follows the others`() {
            put("servers", documents + addresses + numbers)
            fixture.start()
            assertFollowsOthers()
        }

        // As above, for the tables of the processes themselves.
        @Test
        fun `a process starts beside unreadable rows in its own tables`() {
            val odd = documents + byteArrayOf(8, -1) + ByteArray(60_000) { -1 }
            listOf("members", "streams", "versions").forEach { put(it, odd) }
            fixture.store.put("lease", "coordinator", ByteArray(6_000) { 0x0b })
            fixture.start()
            assertFollowsOthers()
        }
    }

    @Nested
    inner class Addresses {
        private val hosts = listOf(
            "", " ", "a b", "a\r\nX: y", "\u0000", "[::1", "no-such-host", "0.0.0.0", "224.0.0.1",
            "255.255.255.255", "999.1.1.1", "127.0.0.1:80", "http://127.0.0.1", "%", "x".repeat(300)
        )

        // Guards against an address that ends a request, which another upstream could serve.
        @Test
        fun `requests are served beside an upstream at an address that nobody can connect to`() {
            fixture.start()
            for (host in hosts) {
                fixture.store.put("servers", "a", row().put("address", "$host:1"))
                Thread.sleep(READ_MILLIS)
                assertServed()
            }
            fixture.store.remove("servers", "a")
            assertFollowsOthers()
        }
    }

    @Nested
    inner class LongNames {
        // Guards against versions that are too long together for the row that records them.
        @Test
        fun `streams begin at a new version beside rows with very long versions`() {
            fixture.runner("i-1", "engine", setOf("warm"))
            fixture.start()
            eventually("no stream begins") { streamStatus() == 200 }
            for (id in listOf("a", "b")) {
                val row = desk.row("engine").put("version", id.repeat(40_000))
                fixture.store.put("servers", id, row)
            }
            fixture.store.remove("servers", "i-1")
            fixture.runner("i-2", "engine", setOf("warm"), version = "v2")
            Thread.sleep(READ_MILLIS)
            eventually("no stream begins at the new version") { streamStatus() == 200 }
        }

        private fun streamStatus(): Int =
            fixture.caller.call("/draft/x", model = "warm").statusCode()
    }

    private companion object {
        const val REQUESTS = 10

        /** Some reads of the table. */
        const val READ_MILLIS = 600L
    }
}
