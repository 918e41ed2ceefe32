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
        connections.requestStarted(connection)
        checkAt(5_000)
        connections.requestEnded(connection)
        checkAt(5_500)
        assertFalse(isClosed)
        assertEquals(0, connections.inProgress)
    }

    @Test
    fun `an answer that is not read for the idle timeout is cut`() {
        connections.requestStarted(connection)
        nowMillis = 5_000
        connections.answerEnded(connection)
        connections.cutUnread()
        assertFalse(isCut)
        nowMillis = 6_000
        connections.cutUnread()
        assertTrue(isCut)
    }
}
