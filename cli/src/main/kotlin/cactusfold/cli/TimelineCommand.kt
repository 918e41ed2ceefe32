package cactusfold.cli

import cactusfold.cli.logs.MergedLog
import cactusfold.cli.logs.PlacedLine
import cactusfold.cli.logs.withLogs
import cactusfold.node.launch.ExitCode
import io.vertx.core.json.JsonObject
import java.net.URLEncoder
import java.nio.file.Path
import java.time.Instant
import java.util.concurrent.Callable
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.ParentCommand

/** Shows the events of all processes in order of time. */
@Command(name = "timeline", description = ["Shows the events of all processes in order of time."])
internal class TimelineCommand : Callable<Int> {
    @ParentCommand
    lateinit var parent: CactusfoldCommand

    @Option(
        names = ["--request"],
        paramLabel = "ID",
        description = ["Only events of this request."]
    )
    var request: String? = null

    @Option(names = ["--model"], paramLabel = "NAME", description = ["Only events of this model."])
    var model: String? = null

    @Option(
        names = ["--workspace"],
        paramLabel = "NAME",
        description = ["Only events of this workspace."]
    )
    var workspace: String? = null

    @Option(
        names = ["--seconds"],
        description = ["Only events of the last seconds (of the logs, if files are given)."]
    )
    var seconds: Long? = null

    @Option(
        names = ["--limit"],
        description = ["Maximum number of events per process (\${DEFAULT-VALUE})."]
    )
    var limit: Int = 200

    @Option(names = ["--json"], description = ["Print one JSON object per line."])
    var isJson: Boolean = false

    @Parameters(
        arity = "0..*",
        paramLabel = "FILE",
        description = ["Logs of entry processes to read instead of querying a controller."]
    )
    var files: List<Path> = emptyList()

    override fun call(): Int = if (files.isEmpty()) fromController() else fromFiles()

    private fun fromFiles(): Int = withLogs(files) { read ->
        selected(read.log).forEach { println(if (isJson) it.line.encode() else line(it)) }
        warnOfClockJumps(read.log)
        ExitCode.OK
    }

    private fun selected(log: MergedLog): List<PlacedLine> {
        val subjects = listOfNotNull(request, model, workspace)
        val since = seconds?.let {
            (log.lines.lastOrNull()?.atMillis ?: 0) - it * MILLIS_PER_SECOND
        }
        return log.lines.filter { placed ->
            subjects.all(placed.line::mentions) && (since == null || placed.atMillis >= since)
        }
    }

    private fun line(placed: PlacedLine): String {
        val line = placed.line
        val details = line.details.entries.joinToString("  ") { "${it.key}=${it.value}" }
        return listOf(Instant.ofEpochMilli(placed.atMillis), line.vm, line.event, details)
            .joinToString("  ")
    }

    private fun fromController(): Int =
        parent.client().get("/v1/timeline?" + query()).exitCode("") { body ->
            val answer = body.toJsonObject()
            for (item in answer.getJsonArray("events")) {
                val event = item as JsonObject
                println(if (isJson) event.encode() else line(event))
            }
            val silent = answer.getInteger("silent_processes")
            if (silent > 0) {
                System.err.println("$silent processes did not answer; their events are missing")
            }
        }

    private fun query(): String {
        val since = seconds?.let { System.currentTimeMillis() - it * MILLIS_PER_SECOND }
        return listOfNotNull(
            request?.let { "request=${encode(it)}" },
            model?.let { "model=${encode(it)}" },
            workspace?.let { "workspace=${encode(it)}" },
            since?.let { "since=$it" },
            "limit=$limit"
        ).joinToString("&")
    }

    private fun line(event: JsonObject): String {
        val time = Instant.ofEpochMilli(event.getLong("hlc") ushr COUNTER_BITS)
        val subject = listOf("request", "model", "workspace")
            .mapNotNull { key ->
                event.getString(key)?.takeIf { it.isNotEmpty() }?.let { "$key=$it" }
            }
        val parts = listOf(time.toString(), event.getString("process"), event.getString("kind"))
        return (parts + event.getString("detail") + subject).joinToString("  ")
    }

    private fun encode(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val COUNTER_BITS = 16
    }
}
