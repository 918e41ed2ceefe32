package cactusfold.entry.process

import java.lang.ref.WeakReference
import org.apache.logging.log4j.LogManager

/** The line that [main] logs. */
const val LATE_LOGGER_LINE = """{"event":"late"}"""

/** Starts logging, has all unreachable objects collected, and only then creates a logger. */
fun main() {
    EntryLogging.start()
    repeat(3) { collectGarbage() }
    LogManager.getLogger(EventLog.LOGGER).info(LATE_LOGGER_LINE)
    LogManager.shutdown()
}

private fun collectGarbage() {
    val collected = WeakReference(Any())
    while (collected.get() != null) System.gc()
}
