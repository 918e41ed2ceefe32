package cactusfold.entry.callers

import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import io.vertx.core.http.HttpConnection
import java.lang.reflect.Proxy
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

class CallerConnectionsTest {
    private var nowMillis = 0L
    private var isClosed = false
    private var isCut = false
    private val clock = MonotonicClock { nowMillis }
    private val connections =
        CallerConnections(clock, EventLog("vm", clock, linesPerSecond = 10), { 1_000 }) {
            isCut = true
        }

    private val connection = Proxy.newProxyInstance(
        javaClass.classLoader,
        arrayOf(HttpConnection::class.java)
    ) { proxy, method, arguments ->
        when (method.name) {
            "close" -> null.also { isClosed = true }
            "hashCode" -> System.identityHashCode(proxy)
            "equals" -> proxy === arguments[0]
            else -> proxy
        }
    } as HttpConnection

    init {
        connections.opened(connection)
    }

    private fun checkAt(atMillis: Long) {
        nowMillis = atMillis
        connections.closeIdle()
    }

    @Test
    fun `a connection that two checks find idle is closed`() {
        checkAt(1_000)
        assertFalse(isClosed)
        checkAt(1_500)
        assertTrue(isClosed)
    }

    // Guards against an idle check right after a pause of the process, which closes a connection
    // before a request that has arrived on it is read.
    @Test
    fun `a request that is read between two checks keeps its connection`() {
        checkAt(1_200)
        val request = connections.requestStarted(connection, "a")
        checkAt(5_000)
        connections.requestEnded(connection, request)
        checkAt(5_500)
        assertFalse(isClosed)
        assertEquals(0, connections.inProgress)
    }

    @Test
    fun `an answer that is not read for the idle timeout is cut`() {
        val request = connections.requestStarted(connection, "a")
        nowMillis = 5_000
        connections.answerEnded(request)
        connections.cutUnread()
        assertFalse(isCut)
        nowMillis = 6_000
        connections.cutUnread()
        assertTrue(isCut)
    }

    // Guards against the end of one request that hides an answer which is not read.
    @Test
    fun `an unread answer is cut although another request of its connection has ended`() {
        val unread = connections.requestStarted(connection, "a")
        val ended = connections.requestStarted(connection, "b")
        connections.answerEnded(unread)
        connections.requestEnded(connection, ended)
        nowMillis = 5_000
        connections.cutUnread()
        assertTrue(isCut)
        assertEquals(listOf("a"), connections.openIds)
    }
}
