package cactusfold.entry.passing

import cactusfold.settings.schema.HostPort
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class PeerChoiceTest {
    private val choice = PeerChoice("z1", maxInFlight = 2, Random(1))

    private fun peer(vm: String, zone: String = "z1", inFlight: Int = 0) =
        Peer(vm, zone, HostPort("127.0.0.1", 1)).also { it.inFlight = inFlight }

    private fun chosen(vararg peers: Peer): Set<String> =
        List(100) { choice.choose(peers.toList(), 0)?.vm }.filterNotNull().toSet()

    @Nested
    inner class Preferred {
        @Test
        fun `all that have the fewest requests in progress are chosen`() {
            assertEquals(setOf("a", "b"), chosen(peer("a"), peer("b"), peer("c", inFlight = 1)))
        }

        @Test
        fun `a peer of the own zone comes before others with fewer requests`() {
            assertEquals(setOf("a"), chosen(peer("a", inFlight = 1), peer("b", "z2")))
        }

        @Test
        fun `another zone's peer is chosen when the own zone's are full`() {
            assertEquals(setOf("b"), chosen(peer("a", inFlight = 2), peer("b", "z2")))
        }
    }

    @Nested
    inner class LeftOut {
        @Test
        fun `a peer is left out until its time has passed`() {
            val peer = peer("a").also { it.leaveOutUntil(500) }
            assertNull(choice.choose(listOf(peer), 499))
            assertEquals("a", choice.choose(listOf(peer), 500)?.vm)
        }

        @Test
        fun `a shorter pause does not end a longer one`() {
            val peer = peer("a").also { it.leaveOutUntil(500) }
            peer.leaveOutUntil(200)
            assertNull(choice.choose(listOf(peer), 300))
        }

        @Test
        fun `no peer is chosen when there is none or all are full`() {
            assertNull(choice.choose(emptyList(), 0))
            assertNull(choice.choose(listOf(peer("a", inFlight = 2)), 0))
        }
    }
}
