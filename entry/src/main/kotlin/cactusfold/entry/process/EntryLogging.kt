package cactusfold.entry.process

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory

/** Configures logging: one JSON object per line on standard output, written asynchronously. */
public object EntryLogging {
    /** Starts logging at [level]. Lines are dropped if the queue is full; callers never block. */
    public fun start(level: String) {
        System.setProperty("vertx.logger-delegate-factory-class-name", VERTX_LOGGER)
        val builder = ConfigurationBuilderFactory.newConfigurationBuilder()
        builder.setShutdownHook("disable")
        builder.add(console("events-out", "%m%n"))
        builder.add(console("messages-out", MESSAGE_PATTERN))
        for (name in listOf("events", "messages")) {
            builder.add(
                builder.newAppender(name, "Async")
                    .addAttribute("blocking", false)
                    .addAttribute("bufferSize", QUEUE_LINES)
                    .addComponent(builder.newAppenderRef("$name-out"))
            )
        }
        builder.add(
            builder.newLogger("events", Level.INFO).add(builder.newAppenderRef("events"))
                .addAttribute("additivity", false)
        )
        builder.add(builder.newLogger("io.netty", Level.WARN))
        builder.add(builder.newLogger("io.grpc", Level.ERROR))
        builder.add(
            builder.newRootLogger(Level.toLevel(level)).add(builder.newAppenderRef("messages"))
        )
        Configurator.reconfigure(builder.build())
    }

    private fun console(name: String, pattern: String) =
        ConfigurationBuilderFactory.newConfigurationBuilder().let { builder ->
            builder.newAppender(name, "Console")
                .addAttribute("target", "SYSTEM_OUT")
                .add(builder.newLayout("PatternLayout").addAttribute("pattern", pattern))
        }

    private const val QUEUE_LINES = 1_024
    private const val VERTX_LOGGER = "io.vertx.core.logging.SLF4JLogDelegateFactory"
    private const val MESSAGE_PATTERN =
        "{\"time\":%d{UNIX_MILLIS},\"level\":\"%p\",\"logger\":\"%c{1}\"," +
            "\"message\":\"%enc{%m}{JSON}\",\"error\":\"%enc{%ex{short}}{JSON}\"}%n"
}
