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

/** Explains a request's end from the logs of the entry processes. */
@Command(
    name = "explain",
    description = ["Says what happened to a request and why, from the logs of all processes."]
)
internal class ExplainCommand : Callable<Int> {
    @Parameters(index = "0", paramLabel = "REQUEST-ID", description = ["The request's id."])
    lateinit var request: String

    @Parameters(
        index = "1..*",
        arity = "1..*",
        paramLabel = "FILE",
        description = ["Logs of entry processes, one or several in a file."]
    )
    lateinit var files: List<Path>

    override fun call(): Int =
        withLogs(files) { read -> print(Explainer(read.log).explain(request), read) }

    private fun print(explanation: Explanation, read: LogRead.Ok): Int = when (explanation) {
        Explanation.Unknown -> {
            System.err.println(
                "no line names request $request " +
                    "(${read.log.lines.size} events, ${read.passedOver} other lines)"
            )
            ExitCode.DATA
        }
        is Explanation.Found -> {
            explanation.steps.forEach {
                println("%+8d ms  %s  %s".format(it.afterMillis, it.vm, it.text))
            }
            println("cause: ${explanation.cause}")
            warnOfJumps(read.log)
            ExitCode.OK
        }
    }
}

/** Says which VMs' time of day jumped, since other tools order lines by it. */
internal fun warnOfJumps(log: MergedLog) {
    log.jumpsMillisByVm.forEach { (vm, millis) ->
        System.err.println(
            "$vm: its time of day jumped by up to $millis ms; placed by its steady clock"
        )
    }
}
