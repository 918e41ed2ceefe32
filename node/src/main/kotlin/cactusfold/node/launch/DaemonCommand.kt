package cactusfold.node.launch

import cactusfold.node.process.Logging
import cactusfold.settings.schema.Schema
import cactusfold.settings.schema.Settings
import cactusfold.settings.schema.SettingsResult
import cactusfold.settings.schema.readSettings
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess
import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.IVersionProvider
import picocli.CommandLine.Option

/** Exit codes of the commands, as in `sysexits.h`. */
public object ExitCode {
    /** Success. */
    public const val OK: Int = 0

    /** The command line is invalid. */
    public const val USAGE: Int = 64

    /** An input document is invalid. */
    public const val DATA: Int = 65

    /** A service is unavailable. */
    public const val UNAVAILABLE: Int = 69

    /** A temporary failure, such as a conflict with another operator's change; try again. */
    public const val TEMPORARY: Int = 75

    /** The settings are invalid or can't be read. */
    public const val CONFIG: Int = 78
}

/** Provides the output of `--version`. */
public class VersionProvider : IVersionProvider {
    override fun getVersion(): Array<String> = arrayOf("cactusfold $VERSION")

    private companion object {
        const val VERSION = "0.1.0"
    }
}

/** A running daemon. */
public interface Daemon {
    /** Shuts down gracefully, after work in progress has finished. */
    public suspend fun stop()
}

/**
 * Command line of a daemon. It reads its settings from `--config FILE.ini` and shuts down
 * gracefully on SIGTERM.
 */
@Command(mixinStandardHelpOptions = true, versionProvider = VersionProvider::class)
public abstract class DaemonCommand(private val schema: Schema) : Callable<Int> {

    @Option(names = ["--config"], required = true, paramLabel = "FILE.ini")
    private lateinit var configFile: Path

    /** Starts the daemon and returns it once it serves requests. */
    protected abstract suspend fun launch(settings: Settings): Daemon

    override fun call(): Int {
        val text = try {
            Files.readString(configFile)
        } catch (e: IOException) {
            System.err.println("$configFile: cannot be read: ${e.message}")
            return ExitCode.CONFIG
        }
        return when (val result = readSettings(schema, text)) {
            is SettingsResult.Invalid -> {
                result.problems.forEach { System.err.println(it.describe(configFile.toString())) }
                ExitCode.CONFIG
            }
            is SettingsResult.Valid -> run(result.settings)
        }
    }

    private fun run(settings: Settings): Int {
        Logging.start(logFormatOf(settings), settings.section("log").text("level"))
        val log = LogManager.getLogger(javaClass)
        val daemon = try {
            runBlocking { launch(settings) }
        } catch (e: IOException) {
            log.error("cannot start", e)
            return ExitCode.UNAVAILABLE
        }
        awaitStop(daemon)
        return ExitCode.OK
    }

    private fun awaitStop(daemon: Daemon) {
        val done = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                runBlocking { daemon.stop() }
                done.countDown()
            }
        )
        done.await()
    }
}

/** Runs [command] with [args] and exits the process with its exit code. */
public fun runCommand(command: Any, args: Array<String>): Nothing {
    val line = CommandLine(command)
        .setCaseInsensitiveEnumValuesAllowed(true)
    line.setParameterExceptionHandler { e, _ ->
        e.commandLine.err.println(e.message)
        CommandLine.UnmatchedArgumentException.printSuggestions(e, e.commandLine.err)
        e.commandLine.err.println("Try '${e.commandLine.commandSpec.qualifiedName()} --help'.")
        ExitCode.USAGE
    }
    exitProcess(line.execute(*args))
}
