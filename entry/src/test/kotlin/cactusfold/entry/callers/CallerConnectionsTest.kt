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
    private var unsentBytes = 0L
    private val output = object : ConnectionOutput {
        override fun unsentBytes(connection: HttpConnection): Long = unsentBytes

        override fun resetOnClose(connection: HttpConnection, isReset: Boolean) = Unit

        override fun cut(connection: HttpConnection) {
            isCut = true
        }
    }
    private val connections =
        CallerConnections(clock, EventLog("vm", clock, linesPerSecond = 10), output) { 1_000 }

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

    private fun cutUnreadAt(atMillis: Long) {
        nowMillis = atMillis
        connections.cutUnread()
    }

    @Test
    fun `an answer of which nothing is read for the idle timeout is cut`() {
        val request = connections.requestStarted(connection, "a")
        unsentBytes = 100
        connections.answerEnded(request)
        cutUnreadAt(5_000)
        cutUnreadAt(5_900)
        assertFalse(isCut)
        cutUnreadAt(6_000)
        assertTrue(isCut)
    }

    @Test
    fun `an answer that is read slowly is not cut`() {
        val request = connections.requestStarted(connection, "a")
        connections.answerEnded(request)
        for (second in 0L..20L) {
            unsentBytes = 100 - second
            cutUnreadAt(second * 900)
        }
        assertFalse(isCut)
    }

    // Guards against the end of one request that hides an answer which is not read.
    @Test
    fun `an unread answer is cut although another request of its connection has ended`() {
        val unread = connections.requestStarted(connection, "a")
        val ended = connections.requestStarted(connection, "b")
        unsentBytes = 100
        connections.answerEnded(unread)
        connections.requestEnded(connection, ended)
        cutUnreadAt(5_000)
        cutUnreadAt(6_000)
        assertTrue(isCut)
        assertEquals(listOf("a"), connections.openIds)
    }
}
