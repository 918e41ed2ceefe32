package cactusfold.entry.path

import java.net.BindException
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/** Ports below the ephemeral range, so that no connection or listener takes one meanwhile. */
object FreePorts {
    private const val FIRST_PORT = 12_000
    private const val BLOCK = 100
    private const val PORT_BLOCKS = 200

    /** Processes with other ids begin at another port. */
    private val steps =
        AtomicInteger((ProcessHandle.current().pid() % PORT_BLOCKS).toInt() * BLOCK)

    /** Returns the first of [count] consecutive ports that nothing listens on. */
    fun nextRange(count: Int): Int {
        while (true) {
            val ports = List(count) { next() }
            if (ports.last() - ports.first() == count - 1) return ports.first()
        }
    }

    /** Returns a port that nothing listens on; each call returns another one. */
    fun next(): Int {
        while (true) {
            val port = FIRST_PORT + steps.getAndIncrement() % (PORT_BLOCKS * BLOCK)
            try {
                return ServerSocket(port).use { it.localPort }
            } catch (_: BindException) {
                continue
            }
        }
    }
}
