package cactusfold.bench

import cactusfold.bench.capacity.DecisionSlopes
import cactusfold.bench.capacity.FleetSlopes
import cactusfold.bench.capacity.RequestSlopes
import cactusfold.bench.capacity.Slope
import cactusfold.bench.path.PathBench
import cactusfold.node.launch.ExitCode
import cactusfold.node.launch.VersionProvider
import cactusfold.node.launch.runCommand
import cactusfold.node.process.LogFormat
import cactusfold.node.process.Logging
import kotlinx.coroutines.runBlocking
import picocli.CommandLine.Command
import picocli.CommandLine.Option

/** Benchmarks that print Markdown tables. */
@Command(
    name = "bench",
    mixinStandardHelpOptions = true,
    versionProvider = VersionProvider::class,
    description = ["Measures cactusfold and its baselines on loopback."]
)
public class BenchCommand {
    /** Measures the costs by size that docs/CAPACITY.md lists. */
    @Command(
        description = ["Measures how state, messages and CPU time grow with the size of the fleet."]
    )
    public fun capacity(
        @Option(
            names = ["--part"],
            description = ["Part to measure: all, decisions, fleet or requests (default: all)."]
        )
        part: String?
    ): Int {
        Logging.start(LogFormat.PLAIN, "error")
        println(Slope.HEAD)
        val isAll = part == null || part == "all"
        if (isAll || part == "decisions") DecisionSlopes.all().forEach { println(it.row()) }
        runBlocking {
            if (isAll || part == "fleet") {
                FleetSlopes.slopes(FleetSlopes.costs()).forEach { println(it.row()) }
            }
            if (isAll || part == "requests") RequestSlopes.all().forEach { println(it.row()) }
        }
        println("\nOne configuration change: ${DecisionSlopes.changeBytes()} bytes on the wire.")
        return ExitCode.OK
    }

    /** Measures the latency that the router adds to a call. */
    @Command(description = ["Measures the latency that the router adds to a direct call."])
    public fun path(): Int {
        Logging.start(LogFormat.PLAIN, "error")
        runBlocking { PathBench.run() }
        return ExitCode.OK
    }
}

/** Entry point of `bin/bench`. */
public fun main(args: Array<String>): Unit = runCommand(BenchCommand(), args)
