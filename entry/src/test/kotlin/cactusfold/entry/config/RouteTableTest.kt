package cactusfold.entry.config

import cactusfold.ports.serving.CallerLimits
import cactusfold.ports.serving.Repeatability
import cactusfold.ports.serving.ServingConfig
import cactusfold.ports.serving.ServingRoute
import cactusfold.ports.serving.ServingWorkspace
import cactusfold.ports.serving.WeightedService
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class RouteTableTest {
    private fun route(name: String, host: String, prefix: String): ServingRoute = ServingRoute(
        name, host, prefix, Repeatability.IDEMPOTENT, persistentListOf(WeightedService("s", 1.0)),
        1_000, 100, null, 1, 0, allowsAnonymous = false
    )

    private val table = RouteTable(
        ServingConfig(
            7,
            persistentListOf(
                route("short", "h.example", "/a/"),
                route("long", "h.example", "/a/b/"),
                route("elsewhere", "other.example", "/")
            ),
            persistentMapOf(),
            persistentListOf(
                ServingWorkspace("w", persistentListOf("k1", "k2"), null, true, 1, null, 0.0)
            ),
            CallerLimits(1, 1, 1, 1)
        )
    )

    @Nested
    inner class Routes {
        @Test
        fun `the longest prefix wins`() {
            assertEquals("long", table.route("h.example", "/a/b/c")?.name)
            assertEquals("short", table.route("h.example", "/a/bc")?.name)
        }

        @Test
        fun `host names ignore case and port`() {
            assertEquals("short", table.route("H.Example:8080", "/a/")?.name)
        }

        @Test
        fun `an unmatched host or path has no route`() {
            assertNull(table.route("h.example", "/b/"))
            assertNull(table.route("unknown.example", "/a/"))
        }
    }

    @Nested
    inner class Keys {
        @Test
        fun `a workspace is found by each of its keys`() {
            assertEquals("w", table.workspace("k2")?.name)
            assertNull(table.workspace("k3"))
        }
    }
}
