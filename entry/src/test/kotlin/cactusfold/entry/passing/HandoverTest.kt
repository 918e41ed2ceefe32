package cactusfold.entry.passing

import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import org.junit.jupiter.api.Test

@OptIn(ExperimentalCoroutinesApi::class)
class HandoverTest {
    private val handover = Handover()
    private val place = CompletableDeferred<String>()
    private val scope = CoroutineScope(Dispatchers.Unconfined)

    private fun await(deadlineAtMillis: Long) =
        scope.async { handover.unlessBegun(deadlineAtMillis) { place.await() } }

    // Guards against requests that leave their queue though they have time for it.
    @Test
    fun `only waits of requests that the stop cuts short end`() {
        val short = await(END_MILLIS)
        val long = await(END_MILLIS + 1)
        handover.announce(END_MILLIS)
        assertFalse(long.isCompleted)
        handover.begin()
        assertNull(long.getCompleted())
        place.complete("place")
        assertEquals("place", short.getCompleted())
    }

    @Test
    fun `a wait that begins afterwards goes on`() {
        handover.announce(END_MILLIS)
        handover.begin()
        val later = await(END_MILLIS + 1)
        place.complete("place")
        assertEquals("place", later.getCompleted())
    }

    // Guards against a request that is passed on although its caller has left.
    @Test
    fun `a caller who leaves ends the request`() {
        val left = await(END_MILLIS + 1)
        left.cancel()
        handover.announce(END_MILLIS)
        handover.begin()
        assertTrue(left.isCancelled)
    }

    @Test
    fun `a wait that is cancelled from within is no handover`() {
        val broken = await(END_MILLIS + 1)
        place.cancel()
        assertTrue(broken.isCancelled)
    }

    private companion object {
        const val END_MILLIS = 1_000L
    }
}
