package cactusfold.entry.callers

import cactusfold.decisions.suspect.SuspectVerdict
import cactusfold.entry.upstream.Upstream
import cactusfold.ports.serving.UpstreamEntry
import kotlin.test.assertEquals
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class SharedSuspectsTest {
    private var nowMillis = 0L
    private val suspects = SharedSuspects({ nowMillis }) {}

    private fun upstream(id: String): Upstream = Upstream(
        UpstreamEntry(
            id, "s", "127.0.0.1", 1, "z", 4, false, 1, null,
            persistentMapOf(), persistentSetOf(), persistentSetOf(), "v1"
        )
    )

    @Nested
    inner class BrokenSends {
        @Test
        fun `broken answers of a reachable upstream do not make a request suspect`() {
            repeat(10) { suspects.recordBroken("f", upstream("r1")) }
            assertEquals(SuspectVerdict.CLEAR, suspects.verdict("f"))
        }

        @Test
        fun `a request in flight at two upstreams that went down is refused`() {
            for (id in listOf("r1", "r2")) {
                suspects.recordBroken("f", upstream(id))
                suspects.recordDown(upstream(id))
            }
            assertEquals(SuspectVerdict.REFUSE, suspects.verdict("f"))
            assertEquals(2, suspects.takeUnsent().size)
        }

        @Test
        fun `an upstream that goes down much later does not make the request suspect`() {
            suspects.recordBroken("f", upstream("r1"))
            nowMillis = 2_001
            suspects.recordDown(upstream("r1"))
            assertEquals(SuspectVerdict.CLEAR, suspects.verdict("f"))
        }
    }
}
