package cactusfold.entry.path

import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.TimeUnit

/** All that a connection brought until it was closed, or until no more was awaited. */
internal data class RawEnd(val text: String, val isClosed: Boolean) {
    /** The statuses of the answers, without interim ones. */
    val statuses: List<Int> = Regex("""HTTP/1\.[01] (\d{3})""").findAll(text)
        .map { it.groupValues[1].toInt() }.filter { it >= FINAL_FROM }.toList()

    companion object {
        private const val FINAL_FROM = 200
        private const val READ_MILLIS = 200
        private const val WATCHED_MILLIS = 8_000L

        /** Sends [text] to [port], and reads until the end, or until [answers] have come. */
        fun of(port: Int, text: String, answers: Int = Int.MAX_VALUE): RawEnd =
            Socket("127.0.0.1", port).use { socket ->
                socket.soTimeout = READ_MILLIS
                socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
                read(socket, answers)
            }

        private fun read(socket: Socket, answers: Int): RawEnd {
            val untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WATCHED_MILLIS)
            val received = StringBuilder()
            while (System.nanoTime() < untilNanos) {
                try {
                    val byte = socket.getInputStream().read()
                    if (byte < 0) return RawEnd("$received", isClosed = true)
                    received.append(byte.toChar())
                } catch (_: SocketTimeoutException) {
                    val end = RawEnd("$received", isClosed = false)
                    if (end.statuses.size >= answers) return end
                } catch (_: IOException) {
                    return RawEnd("$received", isClosed = true)
                }
            }
            return RawEnd("$received", isClosed = false)
        }
    }
}
