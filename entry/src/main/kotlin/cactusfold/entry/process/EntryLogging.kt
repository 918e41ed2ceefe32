package cactusfold.entry.process

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.BlockingQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.LifeCycle
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.LoggerContext
import org.apache.logging.log4j.core.appender.AsyncAppender
import org.apache.logging.log4j.core.appender.ConsoleAppender
import org.apache.logging.log4j.core.async.BlockingQueueFactory
import org.apache.logging.log4j.core.config.AbstractConfiguration
import org.apache.logging.log4j.core.config.AppenderRef
import org.apache.logging.log4j.core.config.ConfigurationSource
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.LoggerConfig

/** Configures logging: one JSON object per line on standard output, written asynchronously. */
public object EntryLogging {
    /** Log4j itself holds contexts by weak references only, until their first logger is created. */
    private var context: LoggerContext? = null
    private val layout = JsonLineLayout()
    private val queues = CountingQueueFactory()
    private val isReported = AtomicBoolean()

    /** Number of lines handed to standard output. */
    public val writtenLines: Long get() = layout.lines

    /** Number of lines dropped because the queue was full. */
    public val droppedLines: Long get() = queues.refused

    /**
     * Starts logging. Lines are dropped if the queue is full; callers never block. Has to be called
     * before a library creates its first logger, which would load the default configuration.
     */
    public fun start() {
        System.setProperty("vertx.logger-delegate-factory-class-name", VERTX_LOGGER)
        System.setProperty("log4j2.disableJmx", "true")
        System.setProperty("log4j.shutdownHookEnabled", "false")
        context = Configurator.initialize(JsonLinesConfiguration(layout, queues))
    }

    /**
     * Returns whether logging is configured as by [start]. The first time that it is not, a line on
     * standard error says so, since the log itself may stay empty.
     */
    public fun checkInForce(): Boolean {
        val configuration = LoggerContext.getContext(false).configuration
        val isInForce = configuration is JsonLinesConfiguration
        if (!isInForce && isReported.compareAndSet(false, true)) {
            System.err.println("$NOT_IN_FORCE: Log4j uses ${configuration.javaClass.name}")
        }
        return isInForce
    }

    /** Sets the minimum [level] of messages; events are written at any level. */
    public fun setLevel(level: String): Unit = Configurator.setRootLevel(Level.toLevel(level))

    /** Beginning of the line of [checkInForce]. */
    internal const val NOT_IN_FORCE = "log lines are not written as JSON, or not at all"
    private const val VERTX_LOGGER = "io.vertx.core.logging.SLF4JLogDelegateFactory"
}

/**
 * Log4j configuration that is built directly. Configuration files and builders load every plugin of
 * Log4j, which takes a large part of the processor time of a start.
 */
private class JsonLinesConfiguration(
    private val layout: JsonLineLayout,
    private val queues: CountingQueueFactory
) : AbstractConfiguration(null, ConfigurationSource.NULL_SOURCE) {

    override fun initialize() {
        val console = ConsoleAppender.newBuilder()
            .setName(CONSOLE)
            .setLayout(layout)
            .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
            .setImmediateFlush(false)
            .build()
        addAppender(console)
        val async = AsyncAppender.newBuilder()
            .setName(ASYNC)
            .setAppenderRefs(arrayOf(AppenderRef.createAppenderRef(CONSOLE, null, null)))
            .setBlocking(false)
            .setBufferSize(QUEUE_LINES)
            .setBlockingQueueFactory(queues)
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

/** Creates the queue of lines, and counts the lines that it refuses because it is full. */
private class CountingQueueFactory : BlockingQueueFactory<LogEvent> {
    private val refusals = AtomicLong()

    val refused: Long get() = refusals.get()

    override fun create(capacity: Int): BlockingQueue<LogEvent> =
        object : ArrayBlockingQueue<LogEvent>(capacity) {
            override fun offer(event: LogEvent): Boolean =
                super.offer(event).also { if (!it) refusals.incrementAndGet() }
        }
}
