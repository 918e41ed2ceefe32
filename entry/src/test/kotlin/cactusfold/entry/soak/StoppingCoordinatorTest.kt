package cactusfold.entry.soak

import cactusfold.entry.path.PlatformFixture
import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import kotlin.test.assertEquals
import org.junit.jupiter.api.Test

class StoppingCoordinatorTest {
    // Guards against a stopping process that never learns of the next coordinator, so that it
    // refuses all requests of workspaces with a rate until it has drained.
    @Test
    fun `a coordinator that stops asks its successor for tokens until it has drained`() {
        PlatformFixture().use { platform ->
            platform.runner("i-1", "desk")
            platform.operator.configure(1, listOf("key-1"), ratePerSecond = RATE_PER_SECOND)
            EntryJvm("handover", "first", platform.store.port, STOP_MILLIS).use { first ->
                first.awaitServing()
                EntryJvm("handover", "second", platform.store.port, STOP_MILLIS).use { second ->
                    second.awaitServing()
                    val connections = List(REQUESTS) { CallerConnection(first.callersPort) }
                    first.terminate()
                    Thread.sleep(HANDOVER_MILLIS)
                    connections.forEach { it.send("/look/x") }
                    val ends = connections.map { connection -> connection.use { it.receive() } }
                    assertEquals(mapOf(OK to REQUESTS), ends.groupingBy(::endOf).eachCount())
                }
            }
        }
    }

    private fun endOf(end: CallEnd): String = when (end) {
        is CallEnd.Answered -> "${end.status} ${end.body.trim()}"
        is CallEnd.Cut -> "cut"
    }

    private companion object {
        const val OK = "200 whole answer of i-1"
        const val STOP_MILLIS = 8_000L

        /** Many times the reserve of one process, each request counts for ten tokens. */
        const val REQUESTS = 40
        const val RATE_PER_SECOND = 500

        /** The successor has taken the lease, and new requests are still accepted. */
        const val HANDOVER_MILLIS = 1_500L
    }
}
