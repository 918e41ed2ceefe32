package cactusfold.entry.passing

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A peer that reads a request, sends what [answer] makes of its id, and closes the connection. */
class RawPeer(private val answer: (id: String) -> String) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    val port: Int get() = server.localPort

    /** The heads of the requests that arrived. */
    val heads: MutableList<String> = CopyOnWriteArrayList()

    init {
        thread(isDaemon = true) {
            try {
                while (true) {
                    val socket = server.accept()
                    thread(isDaemon = true) { socket.use(::serve) }
                }
            } catch (_: IOException) {
                // Closed.
            }
        }
    }

    private fun serve(socket: Socket) {
        val input = socket.getInputStream()
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = input.read()
            if (next < 0) return
            head.append(next.toChar())
        }
        val length = headerOf(head.toString(), "content-length")?.toInt() ?: 0
        input.readNBytes(length)
        heads += head.toString()
        val id = headerOf(head.toString(), "cactusfold-request-id").orEmpty()
        socket.getOutputStream().write(answer(id).toByteArray())
        socket.getOutputStream().flush()
    }

    override fun close(): Unit = server.close()

    companion object {
        private const val BACKLOG = 200

        /** Returns the value of the header [name] in [head], or null. */
        fun headerOf(head: String, name: String): String? = head.lines()
            .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
            ?.substringAfter(':')?.trim()
    }
}
