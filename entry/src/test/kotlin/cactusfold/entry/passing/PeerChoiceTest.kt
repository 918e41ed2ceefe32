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
        List(100) { choice.choose(peers.toList(), "s", 0)?.vm }.filterNotNull().toSet()

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
    inner class CutPeers {
        // Guards against a zone that is cut off as a whole, whose VMs ask just one another.
        @Test
        fun `peers of other zones come first for a request that the own zone cannot serve`() {
            val peers = listOf(peer("a"), peer("b", "z2", inFlight = 1))
            val chosen = List(100) { choice.choose(peers, "s", 0, leavesZone = true)?.vm }.toSet()
            assertEquals(setOf<String?>("b"), chosen)
        }

        @Test
        fun `a peer that does not reach the service comes last, for that service only`() {
            val cut = peer("a").also { it.recordCut("s", 500) }
            val peers = listOf(cut, peer("b", "z2"))
            assertEquals("b", choice.choose(peers, "s", 499)?.vm)
            assertEquals("a", choice.choose(peers, "s", 500)?.vm)
            assertEquals("a", choice.choose(peers, "t", 0)?.vm)
            assertEquals("a", choice.choose(listOf(cut), "s", 0)?.vm)
        }
    }

    @Nested
    inner class LeftOut {
        @Test
        fun `a peer is left out until its time has passed`() {
            val peer = peer("a").also { it.leaveOutUntil(500) }
            assertNull(choice.choose(listOf(peer), "s", 499))
            assertEquals("a", choice.choose(listOf(peer), "s", 500)?.vm)
        }

        @Test
        fun `a shorter pause does not end a longer one`() {
            val peer = peer("a").also { it.leaveOutUntil(500) }
            peer.leaveOutUntil(200)
            assertNull(choice.choose(listOf(peer), "s", 300))
        }

        @Test
        fun `no peer is chosen when there is none or all are full`() {
            assertNull(choice.choose(emptyList(), "s", 0))
            assertNull(choice.choose(listOf(peer("a", inFlight = 2)), "s", 0))
        }
    }
}
