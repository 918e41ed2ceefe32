package cactusfold.cli

import cactusfold.node.launch.ExitCode
import cactusfold.node.launch.VersionProvider
import cactusfold.node.launch.runCommand
import cactusfold.settings.schema.HostPort
import cactusfold.settings.schema.ValueType
import io.vertx.core.buffer.Buffer
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.config.Configurator
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.ScopeType
import picocli.CommandLine.Spec

/** Command line for operators. */
@Command(
    name = "cactusfold",
    mixinStandardHelpOptions = true,
    scope = ScopeType.INHERIT,
    versionProvider = VersionProvider::class,
    description = ["Operates a cactusfold fleet."],
    subcommands = [
        ConfigCommand::class,
        KeyCommand::class,
        StatusCommand::class,
        TimelineCommand::class,
        ExplainCommand::class
    ]
)
public class CactusfoldCommand : Runnable {
    @Spec
    internal lateinit var spec: CommandSpec

    @Option(
        names = ["--controller"],
        scope = ScopeType.INHERIT,
        paramLabel = "ADDRESS:PORT",
        description = ["A controller's admin address (\${DEFAULT-VALUE})."]
    )
    internal var controller: String = "127.0.0.1:9100"

    override fun run(): Unit = throw ParameterException(spec.commandLine(), "missing command")

    internal fun client(): ControllerClient {
        if (!ValueType.Address.accepts(controller)) {
            val expected = ValueType.Address.expected
            throw ParameterException(
                spec.commandLine(),
                "--controller is '$controller'; expected $expected"
            )
        }
        return ControllerClient(HostPort.parse(controller))
    }
}

/** Calls [onOk] with the body if successful, else prints the error; returns the exit code. */
internal fun ControllerResponse.exitCode(source: String, onOk: (Buffer) -> Unit): Int =
    when (this) {
        is ControllerResponse.Ok -> ExitCode.OK.also { onOk(body) }
        is ControllerResponse.Invalid -> {
            problems.forEach { System.err.println("$source:$it") }
            ExitCode.DATA
        }
        is ControllerResponse.Conflict -> {
            System.err.println(
                "$reason; nothing was changed; check the current configuration and retry"
            )
            ExitCode.TEMPORARY
        }
        is ControllerResponse.Unavailable -> {
            System.err.println(reason)
            ExitCode.UNAVAILABLE
        }
    }

/** Entry point of `bin/cactusfold`. */
public fun main(args: Array<String>) {
    Configurator.setRootLevel(Level.ERROR)
    runCommand(CactusfoldCommand(), args)
}
