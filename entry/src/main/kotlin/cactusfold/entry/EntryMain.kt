package cactusfold.entry

import cactusfold.entry.process.BootTimeClock
import cactusfold.entry.process.EntryLogging
import cactusfold.node.launch.ExitCode
import cactusfold.node.launch.VersionProvider
import cactusfold.node.launch.runCommand
import cactusfold.settings.schema.Settings
import cactusfold.settings.schema.SettingsResult
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.dispatcher
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.UUID
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.system.exitProcess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import sun.misc.Signal

/** Command line of an entry process. */
@Command(
    name = "cactusfold-entry",
    description = ["Takes callers' requests on an entry VM of the users' platform."],
    mixinStandardHelpOptions = true,
    versionProvider = VersionProvider::class
)
public class EntryCommand : Callable<Int> {
    @Option(names = ["--config"], required = true, paramLabel = "FILE.ini")
    private lateinit var configFile: Path

    @Option(names = ["--check"], description = ["Checks the settings and ends."])
    private var isCheck: Boolean = false

    override fun call(): Int = EntryProgram(configFile).let {
        if (isCheck) it.check() else it.run()
    }
}

/** Runs an entry process with the settings in [configFile]. */
internal class EntryProgram(private val configFile: Path) {
    /** Checks the settings and returns the exit code. */
    fun check(): Int {
        EntryLogging.start()
        return when (val read = read()) {
            is Read.Unusable -> report(read)
            is Read.Usable -> ExitCode.OK
        }
    }

    /** Serves until the process is told to stop, and returns the exit code. */
    fun run(): Int {
        EntryLogging.start()
        return when (val read = read()) {
            is Read.Unusable -> report(read)
            is Read.Usable -> run(read.settings)
        }
    }

    private fun report(unusable: Read.Unusable): Int {
        unusable.problems.forEach(System.err::println)
        return ExitCode.CONFIG
    }

    private sealed interface Read {
        class Usable(val settings: Settings) : Read
        class Unusable(val problems: List<String>) : Read
    }

    private fun read(): Read {
        val text = try {
            Files.readString(configFile)
        } catch (e: IOException) {
            return Read.Unusable(listOf("$configFile: cannot be read: ${e.message}"))
        }
        return when (val result = readEntrySettings(text)) {
            is SettingsResult.Invalid ->
                Read.Unusable(result.problems.map { it.describe(configFile.toString()) })
            is SettingsResult.Valid -> Read.Usable(result.settings)
        }
    }

    private fun run(settings: Settings): Int {
        Thread.setDefaultUncaughtExceptionHandler { thread, cause ->
            LogManager.getLogger(javaClass).error("thread {} failed", thread.name, cause)
        }
        val logging = settings.section("log")
        EntryLogging.setLevel(logging.text("level"))
        EntryLogging.checkInForce()
        val vertx = Vertx.vertx(
            VertxOptions().setEventLoopPoolSize(1)
                .setBlockedThreadCheckInterval(TimeUnit.HOURS.toMillis(1))
                .setBlockedThreadCheckIntervalUnit(TimeUnit.MILLISECONDS)
        )
        val dispatcher = vertx.orCreateContext.dispatcher()
        val entry = EntryProcess(
            entrySettings(settings),
            vertx,
            dispatcher,
            BootTimeClock(),
            UUID.randomUUID().toString(),
            logging.int("lines-per-second")
        )
        val done = CountDownLatch(1)
        // A failure in one of these tasks, such as a reload, must not cancel the others.
        val scope = CoroutineScope(SupervisorJob() + dispatcher)
        // A clock is for one thread only; signals are handled on threads of their own.
        val signalClock = BootTimeClock()
        Signal.handle(Signal("TERM")) {
            val signaledAtMillis = signalClock.nowMillis()
            scope.launch {
                try {
                    entry.stop(signaledAtMillis)
                } finally {
                    done.countDown()
                }
            }
        }
        Signal.handle(Signal("HUP")) { scope.launch { entry.logReload(currentProblems()) } }
        var exitCode = ExitCode.OK
        try {
            entry.listen()
            scope.launch {
                try {
                    entry.start()
                } catch (e: IOException) {
                    exitCode = reportStartFailure(e)
                    done.countDown()
                }
            }
            done.await()
        } catch (e: IOException) {
            exitCode = reportStartFailure(e)
        }
        LogManager.shutdown()
        return exitCode
    }

    private fun reportStartFailure(cause: IOException): Int {
        LogManager.getLogger(javaClass).error("cannot start", cause)
        return ExitCode.UNAVAILABLE
    }

    private fun currentProblems(): String? = when (val read = read()) {
        is Read.Usable -> null
        is Read.Unusable -> read.problems.joinToString("; ")
    }
}

/**
 * Entry point of `cactusfold-entry`. The plain form `--config FILE` is read without the command-
 * line library, whose classes cannot be archived and are slow to load.
 */
public fun main(args: Array<String>) {
    if (args.size != 2 || args[0] != "--config") return runCommand(EntryCommand(), args)
    exitProcess(EntryProgram(Path.of(args[1])).run())
}
