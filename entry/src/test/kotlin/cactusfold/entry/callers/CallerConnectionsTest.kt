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
    private var isReading = true
    private var isHeadRefused = false
    private lateinit var heads: HeadListener
    private val input = object : ConnectionInput {
        override val address = "127.0.0.1"
        override val isReading get() = this@CallerConnectionsTest.isReading

        override fun refuseHead() {
            isHeadRefused = true
        }
    }
    private val limits = object : ConnectionLimits {
        override val idleMillis = 1_000L
        override var headMillis = 2_000L
        override val headMaxBytes = 16_384
    }
    private val closed = mutableListOf<String>()
    private val connections = CallerConnections(
        clock,
        EventLog("vm", clock, linesPerSecond = 10),
        output,
        limits
    ) { reason -> closed += reason }

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
        connections.opened(connection) { input.also { _ -> heads = it } }
    }

    private fun checkAt(atMillis: Long) {
        nowMillis = atMillis
        connections.closeExpired()
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

    // Guards against a head that keeps its connection while a byte of it arrives now and then.
    @Test
    fun `a head that two checks find late is refused once`() {
        nowMillis = 900
        heads.headBegan()
        checkAt(2_400)
        checkAt(2_900)
        assertFalse(isHeadRefused)
        checkAt(3_400)
        assertTrue(isHeadRefused)
        assertFalse(isClosed)
        assertEquals(listOf("header-timeout"), closed)
    }

    @Test
    fun `a connection whose head was refused is closed after the refusal was sent`() {
        heads.headBegan()
        checkAt(2_000)
        checkAt(2_500)
        val refusal = connections.requestStarted(connection, null)
        checkAt(3_000)
        connections.requestEnded(connection, refusal)
        checkAt(3_500)
        assertFalse(isClosed)
        checkAt(4_000)
        assertTrue(isClosed)
    }

    // Guards against a pause of the process, or of its reading, that is held against a caller.
    @Test
    fun `a head whose rest is read between two checks is not refused`() {
        heads.headBegan()
        checkAt(5_000)
        heads.headEnded()
        val request = connections.requestStarted(connection, "a")
        checkAt(5_500)
        connections.requestEnded(connection, request)
        checkAt(6_000)
        assertFalse(isHeadRefused || isClosed)
    }

    @Test
    fun `a head that is not read is not refused`() {
        val earlier = connections.requestStarted(connection, "a")
        heads.headBegan()
        isReading = false
        checkAt(5_000)
        checkAt(5_500)
        isReading = true
        connections.requestEnded(connection, earlier)
        checkAt(6_000)
        assertFalse(isHeadRefused)
        checkAt(6_500)
        assertTrue(isHeadRefused)
    }

    @Test
    fun `a changed limit holds for a head that is arriving`() {
        heads.headBegan()
        limits.headMillis = 400
        checkAt(500)
        checkAt(1_000)
        assertTrue(isHeadRefused)
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

    // Guards against an answer that is cut right after a pause of the process, in which its caller
    // may have read.
    @Test
    fun `an answer is not cut before it could be sent on after a pause of the process`() {
        val request = connections.requestStarted(connection, "a")
        unsentBytes = 100
        connections.answerEnded(request)
        cutUnreadAt(5_000)
        cutUnreadAt(9_000)
        assertFalse(isCut)
        unsentBytes = 50
        cutUnreadAt(9_500)
        cutUnreadAt(10_000)
        assertFalse(isCut)
        cutUnreadAt(10_500)
        assertTrue(isCut)
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
