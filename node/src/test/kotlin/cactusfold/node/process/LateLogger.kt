package cactusfold.node.process

import java.lang.ref.WeakReference
import org.apache.logging.log4j.LogManager

/** The message that [main] logs. */
const val LATE_MESSAGE = "late"

/** Starts logging, has all unreachable objects collected, and only then creates a logger. */
fun main() {
    Logging.start(LogFormat.PLAIN, "info")
    repeat(3) { collectGarbage() }
    LogManager.getLogger("late").info(LATE_MESSAGE)
}

private fun collectGarbage() {
    val collected = WeakReference(Any())
    while (collected.get() != null) System.gc()
}
