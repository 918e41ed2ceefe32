package cactusfold.decisions.streams

import kotlin.test.assertEquals
import org.junit.jupiter.api.Test

class StreamLedgerTest {
    private val origin = StreamOrigin("s", "v1")

    private fun originAfter(vararg origins: StreamOrigin?): StreamOrigin? =
        origins.foldIndexed(StreamLedger()) { i, ledger, next ->
            ledger.with("id", KnownStream(next, i.toLong()))
        }.find("id")?.origin

    @Test
    fun `an origin that is known never changes`() {
        assertEquals(origin, originAfter(origin, StreamOrigin("s", "v2"), null))
    }

    @Test
    fun `an uncertain origin becomes known`() {
        assertEquals(origin, originAfter(null, origin))
    }

    @Test
    fun `a stream is kept for the longest time that was stated`() {
        val ledger = StreamLedger().with("id", KnownStream(origin, 20))
            .with("id", KnownStream(origin, 10))
        assertEquals(1, ledger.withoutExpired(19).size)
        assertEquals(0, ledger.withoutExpired(20).size)
    }
}
