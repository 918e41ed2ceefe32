package cactusfold.entry.path

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** The way from the entry process to a runner on [runnerPort], which can be cut. */
class RunnerLink(private val runnerPort: Int) : AutoCloseable {
    /** What becomes of connections while the link is cut. */
    enum class Cut {
        /** Nothing passes, and new connections are accepted by the system only. */
        HANGS,

        /** Connections are closed, and new ones as well as soon as they are accepted. */
        RESETS,

        /** Connections are closed, and new ones are refused. */
        REFUSES
    }

    private val loopback = InetAddress.getLoopbackAddress()
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    @Volatile
    private var server = ServerSocket(0, BACKLOG, loopback)

    @Volatile
    private var cut: Cut? = null

    @Volatile
    private var silentUntilNanos = System.nanoTime()

    val port: Int = server.localPort

    init {
        accept()
    }

    /** Cuts the link as [next] says. */
    fun cut(next: Cut) {
        cut = next
        if (next == Cut.HANGS) return
        if (next == Cut.REFUSES) server.close()
        sockets.forEach(::reset)
    }

    /** Holds back all bytes and new connections for [forMillis], after which they pass. */
    fun silence(forMillis: Long) {
        silentUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(forMillis)
    }

    private fun awaitSilenceEnd() {
        while (true) {
            val leftNanos = silentUntilNanos - System.nanoTime()
            if (leftNanos <= 0) return
            TimeUnit.NANOSECONDS.sleep(leftNanos)
        }
    }

    /** Ends the cut; connections that hung are closed. */
    fun restore() {
        val ended = cut
        cut = null
        sockets.forEach(::reset)
        if (ended == Cut.REFUSES) {
            server = ServerSocket(port, BACKLOG, loopback)
            accept()
        }
    }

    private fun accept() {
        val accepting = server
        thread(isDaemon = true) {
            try {
                while (true) serve(accepting.accept())
            } catch (_: IOException) {
                // The link refuses connections, or the test has ended.
            }
        }
    }

    private fun serve(socket: Socket) {
        sockets += socket
        when (cut) {
            Cut.HANGS -> return
            Cut.RESETS, Cut.REFUSES -> return reset(socket)
            null -> Unit
        }
        awaitSilenceEnd()
        val runner = Socket(loopback, runnerPort)
        sockets += runner
        copy(socket, runner)
        copy(runner, socket)
    }

    private fun copy(from: Socket, to: Socket) {
        thread(isDaemon = true) {
            val bytes = ByteArray(BUFFER_BYTES)
            try {
                while (true) {
                    val count = from.getInputStream().read(bytes)
                    awaitSilenceEnd()
                    if (count < 0) break
                    if (cut == null) to.getOutputStream().write(bytes, 0, count)
                }
            } catch (_: IOException) {
                // One of the two ends has closed the connection.
            }
            if (cut != Cut.HANGS) listOf(from, to).forEach(::reset)
        }
    }

    private fun reset(socket: Socket) {
        sockets -= socket
        try {
            socket.setSoLinger(true, 0)
            socket.close()
        } catch (_: IOException) {
            // It is closed already.
        }
    }

    override fun close() {
        server.close()
        sockets.forEach(::reset)
    }

    private companion object {
        const val BACKLOG = 50
        const val BUFFER_BYTES = 16_384
    }
}
