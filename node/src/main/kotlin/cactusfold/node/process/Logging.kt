package cactusfold.node.process

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory

/** Format of log lines. [JSON] uses the Elastic Common Schema. */
public enum class LogFormat { PLAIN, JSON }

/** Configures Log4j to write to standard error. */
public object Logging {
    /** Starts logging in [format] at [level] and above. */
    public fun start(format: LogFormat, level: String) {
        System.setProperty("vertx.logger-delegate-factory-class-name", VERTX_LOGGER)
        val builder = ConfigurationBuilderFactory.newConfigurationBuilder()
        val layout = when (format) {
            LogFormat.PLAIN -> builder.newLayout("PatternLayout").addAttribute("pattern", PATTERN)
            LogFormat.JSON -> builder.newLayout("JsonTemplateLayout")
                .addAttribute("eventTemplateUri", "classpath:EcsLayout.json")
        }
        val appender = builder.newAppender("stderr", "Console")
            .addAttribute("target", "SYSTEM_ERR")
            .add(layout)
        builder.add(appender)
        val quiet = builder.newLogger("io.netty", Level.WARN)
        builder.add(quiet)
        builder.add(builder.newLogger("io.grpc", Level.ERROR))
        builder.add(
            builder.newRootLogger(Level.toLevel(level)).add(builder.newAppenderRef("stderr"))
        )
        builder.setShutdownHook("disable")
        Configurator.reconfigure(builder.build())
    }

    private const val PATTERN = "%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %c{1} - %m%n%ex"
    private const val VERTX_LOGGER = "io.vertx.core.logging.SLF4JLogDelegateFactory"
}
