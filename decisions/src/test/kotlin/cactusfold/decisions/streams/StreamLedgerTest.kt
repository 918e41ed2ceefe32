package cactusfold.decisions.streams

import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Test

class StreamLedgerTest {
    private val origin = StreamOrigin("s", "v1")

    private fun originAfter(vararg origins: StreamOrigin?): StreamOrigin? =
        origins.foldIndexed(StreamLedger()) { i, ledger, next ->
            ledger.with("id", KnownStream(next, i.toLong()))
        }.find("id")?.origin

    @Test
    fun `an origin that is known stays so`() {
        assertEquals(origin, originAfter(origin, origin))
    }

    // Guards against a guess of another process that outlives the knowledge that it may be wrong.
    @Test
    fun `an uncertain origin stays uncertain, and one that was taken for known becomes so`() {
        assertNull(originAfter(null, origin))
        assertNull(originAfter(origin, null))
    }

    // A caller may use an id for another stream.
    @Test
    fun `two origins under one id are uncertain`() {
        assertNull(originAfter(origin, StreamOrigin("s", "v2"), origin))
    }

    @Test
    fun `a stream is kept for the longest time that was stated`() {
        val ledger = StreamLedger().with("id", KnownStream(origin, 20))
            .with("id", KnownStream(origin, 10))
        assertEquals(1, ledger.withoutExpired(19).size)
        assertEquals(0, ledger.withoutExpired(20).size)
    }
}
