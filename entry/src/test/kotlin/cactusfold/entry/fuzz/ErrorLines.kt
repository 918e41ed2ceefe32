package cactusfold.entry.fuzz

import java.util.concurrent.CopyOnWriteArrayList
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.Logger
import org.apache.logging.log4j.core.appender.AbstractAppender
import org.apache.logging.log4j.core.config.Property

/** Collects the lines at ERROR that this JVM logs until it is closed. */
internal class ErrorLines : AutoCloseable {
    private val root = LogManager.getRootLogger() as Logger
    val lines: MutableList<String> = CopyOnWriteArrayList()
    private val appender =
        object : AbstractAppender("errors", null, null, true, Property.EMPTY_ARRAY) {
            override fun append(event: LogEvent) {
                if (!event.level.isMoreSpecificThan(Level.ERROR)) return
                lines +=
                    "${event.loggerName}: ${event.message.formattedMessage} ${event.thrown ?: ""}"
            }
        }

    init {
        appender.start()
        root.addAppender(appender)
    }

    override fun close() {
        root.removeAppender(appender)
        appender.stop()
    }
}
