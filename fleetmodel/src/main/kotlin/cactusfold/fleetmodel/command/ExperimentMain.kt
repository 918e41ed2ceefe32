package cactusfold.fleetmodel.command

import cactusfold.fleetmodel.Outcome
import cactusfold.fleetmodel.Pattern
import cactusfold.fleetmodel.Patterns
import cactusfold.fleetmodel.Policy
import cactusfold.fleetmodel.Simulation
import cactusfold.node.launch.ExitCode
import cactusfold.node.launch.VersionProvider
import cactusfold.node.launch.runCommand
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec

/** Simulates a fleet under patterns of load and failure and compares placement policies. */
@Command(
    name = "experiment",
    mixinStandardHelpOptions = true,
    versionProvider = VersionProvider::class,
    description = [
        "Simulates a fleet under patterns of load and failure, in virtual time and without a " +
            "network, and compares policies on the same seeds. Prints a Markdown table."
    ]
)
internal class ExperimentCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Parameters(
        arity = "0..*",
        paramLabel = "PATTERN",
        description = ["Patterns to simulate (default: all). See --list."]
    )
    var names: List<String> = emptyList()

    @Option(names = ["--list"], description = ["List the patterns and the policies."])
    var isList: Boolean = false

    @Option(names = ["--seeds"], description = ["Runs per pattern and policy (\${DEFAULT-VALUE})."])
    var seeds: Int = 5

    @Option(names = ["--seed"], description = ["Seed of the first run (\${DEFAULT-VALUE})."])
    var seed: Long = 1

    @Option(
        names = ["--plot"],
        paramLabel = "FILE.svg",
        description = ["Plot responses per second by policy; requires exactly one pattern."]
    )
    var plot: Path? = null

    override fun call(): Int {
        if (isList) return list()
        val patterns = names.map { name ->
            Patterns.find(name)
                ?: throw ParameterException(
                    spec.commandLine(),
                    "unknown pattern '$name'; see --list"
                )
        }.ifEmpty { Patterns.all }
        if (seeds < 1) throw ParameterException(spec.commandLine(), "--seeds must be at least 1")
        if (plot != null && patterns.size != 1) {
            throw ParameterException(spec.commandLine(), "--plot requires exactly one pattern")
        }
        println(HEADER)
        for (pattern in patterns) {
            val outcomes = Policy.all.associateWith { policy -> simulate(pattern, policy) }
            outcomes.forEach { (policy, runs) -> rows(pattern, policy, runs).forEach(::println) }
            plot?.let { Files.writeString(it, Plot.svg(pattern, outcomes)) }
        }
        return ExitCode.OK
    }

    private fun list(): Int {
        println("Patterns:")
        Patterns.all.forEach { println("  %-20s %s".format(it.name, it.summary)) }
        println("Policies:")
        Policy.all.forEach { println("  %-20s %s".format(it.name, it.summary)) }
        return ExitCode.OK
    }

    private fun simulate(pattern: Pattern, policy: Policy): List<Outcome> = List(seeds) { run ->
        System.err.print("\r%-20s %-14s %d of %d".format(pattern.name, policy.name, run + 1, seeds))
        Simulation(pattern.fleet, pattern, policy, seed + run).run()
    }.also { System.err.println() }

    private fun rows(pattern: Pattern, policy: Policy, runs: List<Outcome>): List<String> =
        runs.first().classes.map { it.name }.map { name ->
            val classes = runs.map { it.of(name) }
            val loads = runs.map { run -> run.loadsBySource.values.sum() }.average()
            "| %s | %s | %s | %.3f | %.3f | %.1f | %.1f | %.0f | %.0f | %.1f | %.0f |".format(
                pattern.name,
                policy.name,
                name,
                classes.map { it.inTargetShare }.average(),
                classes.map { it.servedShare }.average(),
                classes.map { it.refused }.average(),
                classes.map { it.failed }.average(),
                classes.map { it.firstChunkMillis(MEDIAN) }.average(),
                classes.map { it.firstChunkMillis(TAIL) }.average(),
                classes.map { it.unservedWaitMillis / MILLIS_PER_SECOND }.average(),
                loads
            )
        }

    private companion object {
        const val MEDIAN = 0.5
        const val TAIL = 0.99
        const val MILLIS_PER_SECOND = 1_000.0
        const val HEADER =
            "| pattern | policy | class | in target | served | refused | failed | p50 ms " +
                "| p99 ms | waited in vain s | loads |\n" +
                "|---|---|---|---|---|---|---|---|---|---|---|"
    }
}

/** Entry point of `bin/experiment`. */
public fun main(args: Array<String>) {
    runCommand(ExperimentCommand(), args)
}
