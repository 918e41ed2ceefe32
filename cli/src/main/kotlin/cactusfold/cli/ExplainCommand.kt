package cactusfold.cli

import cactusfold.cli.logs.Explainer
import cactusfold.cli.logs.Explanation
import cactusfold.cli.logs.LogRead
import cactusfold.cli.logs.MergedLog
import cactusfold.cli.logs.withLogs
import cactusfold.node.launch.ExitCode
import java.nio.file.Path
import java.util.concurrent.Callable
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

/** Explains a request's outcome from the logs of the entry processes. */
@Command(
    name = "explain",
    description = ["Explains what happened to a request and why, from the logs of all processes."]
)
internal class ExplainCommand : Callable<Int> {
    @Parameters(index = "0", paramLabel = "REQUEST-ID", description = ["The request's id."])
    lateinit var request: String

    @Parameters(
        index = "1..*",
        arity = "1..*",
        paramLabel = "FILE",
        description = ["Logs of entry processes; a file may contain several."]
    )
    lateinit var files: List<Path>

    override fun call(): Int =
        withLogs(files) { read -> print(Explainer(read.log).explain(request), read) }

    private fun print(explanation: Explanation, read: LogRead.Ok): Int = when (explanation) {
        Explanation.Unknown -> {
            System.err.println(
                "no events of request $request found " +
                    "(${read.log.lines.size} events, ${read.skippedLines} other lines)"
            )
            ExitCode.DATA
        }
        is Explanation.Found -> {
            explanation.steps.forEach {
                println("%+8d ms  %s  %s".format(it.afterMillis, it.vm, it.text))
            }
            println("cause: ${explanation.cause}")
            warnOfClockJumps(read.log)
            ExitCode.OK
        }
    }
}

/** Warns of VMs whose wall clock jumped, because other tools order lines by it. */
internal fun warnOfClockJumps(log: MergedLog) {
    log.clockJumpMillisByVm.forEach { (vm, millis) ->
        System.err.println(
            "$vm: wall clock jumped by up to $millis ms; ordered by the monotonic clock"
        )
    }
}
