package cactusfold.entry.process

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.LifeCycle
import org.apache.logging.log4j.core.LoggerContext
import org.apache.logging.log4j.core.appender.AsyncAppender
import org.apache.logging.log4j.core.appender.ConsoleAppender
import org.apache.logging.log4j.core.config.AbstractConfiguration
import org.apache.logging.log4j.core.config.AppenderRef
import org.apache.logging.log4j.core.config.ConfigurationSource
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.LoggerConfig

/** Configures logging: one JSON object per line on standard output, written asynchronously. */
public object EntryLogging {
    /** Log4j itself holds contexts by weak references only, until their first logger is created. */
    private var context: LoggerContext? = null

    /**
     * Starts logging. Lines are dropped if the queue is full; callers never block. Has to be called
     * before a library creates its first logger, which would load the default configuration.
     */
    public fun start() {
        System.setProperty("vertx.logger-delegate-factory-class-name", VERTX_LOGGER)
        System.setProperty("log4j2.disableJmx", "true")
        System.setProperty("log4j.shutdownHookEnabled", "false")
        context = Configurator.initialize(JsonLinesConfiguration())
    }

    /** Sets the minimum [level] of messages; events are written at any level. */
    public fun setLevel(level: String): Unit = Configurator.setRootLevel(Level.toLevel(level))

    private const val VERTX_LOGGER = "io.vertx.core.logging.SLF4JLogDelegateFactory"
}

/**
 * Log4j configuration that is built directly. Configuration files and builders load every plugin of
 * Log4j, which takes a large part of the processor time of a start.
 */
private class JsonLinesConfiguration :
    AbstractConfiguration(null, ConfigurationSource.NULL_SOURCE) {

    override fun initialize() {
        val console = ConsoleAppender.newBuilder()
            .setName(CONSOLE)
            .setLayout(JsonLineLayout())
            .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
            .setImmediateFlush(false)
            .build()
        addAppender(console)
        val async = AsyncAppender.newBuilder()
            .setName(ASYNC)
            .setAppenderRefs(arrayOf(AppenderRef.createAppenderRef(CONSOLE, null, null)))
            .setBlocking(false)
            .setBufferSize(QUEUE_LINES)
            .setConfiguration(this)
            .build()
        addAppender(async)
        rootLogger.level = Level.INFO
        rootLogger.addAppender(async, null, null)
        addLogger(EventLog.LOGGER, LoggerConfig(EventLog.LOGGER, Level.INFO, true))
        addLogger("io.netty", LoggerConfig("io.netty", Level.WARN, true))
        addLogger("io.grpc", LoggerConfig("io.grpc", Level.ERROR, true))
        setState(LifeCycle.State.INITIALIZED)
    }

    private companion object {
        const val CONSOLE = "console"
        const val ASYNC = "async"
        const val QUEUE_LINES = 2_048
    }
}
