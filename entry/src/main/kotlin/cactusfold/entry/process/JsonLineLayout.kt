package cactusfold.entry.process

import io.vertx.core.json.JsonObject
import java.util.concurrent.atomic.AtomicLong
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.layout.AbstractStringLayout

/** Layout with one JSON object per line. Events of [EventLog] are JSON already. */
internal class JsonLineLayout : AbstractStringLayout(Charsets.UTF_8) {
    private val counted = AtomicLong()

    /** Number of lines so far. */
    val lines: Long get() = counted.get()

    override fun toSerializable(event: LogEvent): String {
        counted.incrementAndGet()
        val message = event.message.formattedMessage
        if (event.loggerName == EventLog.LOGGER) return message + "\n"
        val line = JsonObject()
            .put("time", event.timeMillis)
            .put("level", event.level.name())
            .put("logger", event.loggerName.substringAfterLast('.'))
            .put("message", message)
        event.thrown?.let { line.put("error", describe(it)) }
        return line.encode() + "\n"
    }

    private fun describe(error: Throwable): String =
        "$error" + error.stackTrace.take(STACK_FRAMES).joinToString("") { " at $it" }

    private companion object {
        /** Enough to find the place; whole traces would crowd out other lines. */
        const val STACK_FRAMES = 4
    }
}
