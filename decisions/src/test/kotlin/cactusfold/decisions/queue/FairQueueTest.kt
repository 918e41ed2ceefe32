package cactusfold.decisions.queue

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class FairQueueTest {
    private val queue = WaitingList(maxTotal = 100, maxPerWorkspace = 40)

    private fun request(
        id: String,
        workspace: String,
        deadline: Long = 1_000,
        share: Double = 1.0
    ) = WaitingRequest(id, workspace, share, deadline, 100)

    private fun filled(vararg requests: WaitingRequest): QueueState =
        requests.fold(QueueState()) { state, request -> queue.add(state, request, 0).state }

    private fun dispatched(state: QueueState, slots: Int): List<String> =
        queue.dispatch(state, slots).effects.map { (it as QueueEffect.Dispatch).request.id }

    @Nested
    inner class Order {
        @Test
        fun `requests of a workspace are dispatched by earliest deadline`() {
            val state = filled(request("late", "a", 900), request("soon", "a", 100))
            assertEquals(listOf("soon", "late"), dispatched(state, 2))
        }

        @Test
        fun `a workspace with many requests does not delay another`() {
            val flood = (1..30).map { request("f$it", "flood") }.toTypedArray()
            val state = filled(*flood, request("q", "quiet"))
            assertTrue(dispatched(state, 2).contains("q"))
        }

        @Test
        fun `tokens are divided in proportion to shares`() {
            val heavy = (1..20).map { request("h$it", "heavy", share = 3.0) }
            val light = (1..20).map { request("l$it", "light") }
            val order = dispatched(filled(*(heavy + light).toTypedArray()), 20)
            val counts = order.groupingBy { it.first() }.eachCount()
            assertTrue(counts.getValue('h') in 14..16, "$counts")
        }

        @Test
        fun `an idle workspace earns no credit`() {
            var state = filled(*(1..20).map { request("b$it", "busy") }.toTypedArray())
            state = queue.dispatch(state, 15).state
            state = (1..10).fold(state) { s, i -> queue.add(s, request("n$i", "new"), 0).state }
            val next = dispatched(state, 6)
            assertTrue(next.count { it.startsWith("b") } >= 2, "$next")
        }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `a request past its deadline is refused immediately`() {
            val effects = queue.add(QueueState(), request("r", "a", 10), 10).effects
            assertEquals(
                listOf<QueueEffect>(QueueEffect.Refuse(request("r", "a", 10), QueueRefusal.LATE)),
                effects
            )
        }

        @Test
        fun `one workspace cannot fill the queue`() {
            val state = filled(*(1..60).map { request("f$it", "flood") }.toTypedArray())
            assertEquals(40, state.size)
            assertEquals(41, queue.add(state, request("q", "quiet"), 0).state.size)
        }

        @Test
        fun `every request is either dispatched or refused exactly once`() {
            val state = filled(request("a", "x", 50), request("b", "x", 500), request("c", "y", 50))
            val expired = queue.expire(state, 50)
            assertEquals(2, expired.effects.size)
            assertEquals(listOf("b"), dispatched(expired.state, 5))
            assertEquals(0, queue.dispatch(expired.state, 5).state.size)
        }
    }
}
