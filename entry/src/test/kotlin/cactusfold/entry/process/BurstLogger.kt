package cactusfold.entry.process

import org.apache.logging.log4j.LogManager

/** Number of lines that [main] logs, many more than the queue and a pipe hold. */
const val BURST_LINES = 20_000

/** Beginning of the line on standard error that [main] writes once all lines are logged. */
const val BURST_LOGGED = "logged"

/** Beginning of the line with the numbers of written and of dropped lines. */
const val BURST_COUNTS = "counts"

/** Logs [BURST_LINES] lines at once, and writes the counts when all are written or dropped. */
fun main() {
    EntryLogging.start()
    val log = LogManager.getLogger(EventLog.LOGGER)
    repeat(BURST_LINES) { log.info("""{"event":"burst","number":$it}""") }
    System.err.println(BURST_LOGGED)
    while (EntryLogging.writtenLines + EntryLogging.droppedLines < BURST_LINES) Thread.sleep(1)
    System.err.println("$BURST_COUNTS ${EntryLogging.writtenLines} ${EntryLogging.droppedLines}")
    LogManager.shutdown()
}
