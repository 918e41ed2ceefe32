package cactusfold.cli

import cactusfold.decisions.config.ConfigDocument
import cactusfold.node.launch.ExitCode
import cactusfold.settings.fleet.FleetConfigResult
import cactusfold.settings.fleet.FleetConfigValidator
import cactusfold.settings.fleet.fleetSchema
import cactusfold.settings.fleet.renderIni
import cactusfold.settings.schema.Problem
import cactusfold.settings.schema.renderReference
import io.vertx.core.json.JsonObject
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.time.Instant
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.ParentCommand

/** Commands that manage the configuration document. */
@Command(
    name = "config",
    description = ["Checks, applies and shows the configuration."],
    subcommands = [ConfigCheckCommand::class]
)
internal class ConfigCommand {
    @ParentCommand
    lateinit var parent: CactusfoldCommand

    @Command(description = ["Checks a document without applying it."])
    fun validate(@Parameters(paramLabel = "FILE.ini") file: Path): Int = withDocument(file) {
        println("$file: valid, ${it.sections.size} sections")
        ExitCode.OK
    }

    @Command(description = ["Applies a document as the next version. API keys are not changed."])
    fun apply(
        @Parameters(paramLabel = "FILE.ini") file: Path,
        @Option(
            names = ["--base"],
            paramLabel = "VERSION",
            description = ["Fail unless this is the current version."]
        ) base: Long?,
        @Option(
            names = ["--comment"],
            description = ["Reason for the change, shown in the history."]
        ) comment: String?
    ): Int = withDocument(file) {
        val headers = buildMap {
            base?.let { put("X-Config-Version", it.toString()) }
            comment?.let { put("X-Comment", it) }
            put("X-Author", author())
        }
        val answer = parent.client().post("/v1/config/apply", Files.readAllBytes(file), headers)
        answer.exitCode(file.toString()) { printVersion(it.toJsonObject()) }
    }

    @Command(description = ["Prints the current document."])
    fun show(): Int = parent.client().get("/v1/config").exitCode("") { print(it.toString()) }

    @Command(description = ["Lists the changes: version, time, author, comment."])
    fun history(): Int = parent.client().get("/v1/config/history").exitCode("") { body ->
        for (item in body.toJsonArray()) {
            val entry = item as JsonObject
            val time = Instant.ofEpochMilli(entry.getLong("accepted_at_epoch_millis"))
            val line = listOf(
                entry.getLong("version").toString().padStart(VERSION_WIDTH),
                time.toString(),
                entry.getString("author"),
                entry.getString("comment")
            )
            println(line.joinToString("  "))
        }
    }

    @Command(description = ["Prints a reference of all sections and settings as Markdown."])
    fun reference(): Int {
        print(renderReference(fleetSchema))
        return ExitCode.OK
    }

    @Command(description = ["Shows what applying a document would change."])
    fun diff(@Parameters(paramLabel = "FILE.ini") file: Path): Int = withDocument(file) { target ->
        parent.client().get("/v1/config").exitCode("") { body ->
            when (val current = FleetConfigValidator.check(body.toString())) {
                is FleetConfigResult.Invalid -> report(current.problems, "current configuration")
                is FleetConfigResult.Valid -> printDiff(current.document, target)
            }
        }
    }

    private fun printDiff(current: ConfigDocument, target: ConfigDocument) {
        val patch = current.patchTo(target)
        for (name in patch.removals.filter { !it.startsWith("key ") }.sorted()) println("- [$name]")
        for ((name, values) in patch.upserts.toSortedMap()) {
            val before = current.sections[name].orEmpty()
            println(if (before.isEmpty()) "+ [$name]" else "~ [$name]")
            for (key in (before.keys + values.keys).sorted()) {
                if (before[key] != values[key]) {
                    before[key]?.let { println("  - $key = $it") }
                    values[key]?.let { println("  + $key = $it") }
                }
            }
        }
        if (patch.isEmpty) println("no change")
    }

    private fun withDocument(file: Path, use: (ConfigDocument) -> Int): Int {
        val text = try {
            Files.readString(file)
        } catch (e: IOException) {
            System.err.println("$file: cannot be read: ${e.message}")
            return ExitCode.DATA
        }
        return when (val result = FleetConfigValidator.check(text)) {
            is FleetConfigResult.Valid -> use(result.document)
            is FleetConfigResult.Invalid -> ExitCode.DATA.also {
                report(result.problems, file.toString())
            }
        }
    }

    private fun report(problems: List<Problem>, source: String) {
        problems.forEach { System.err.println(it.describe(source)) }
    }

    private companion object {
        const val VERSION_WIDTH = 6
    }
}

/** Returns the author name recorded with this operator's changes. */
internal fun author(): String = System.getProperty("user.name") ?: "unknown"

/** Prints the version that resulted from a change. */
internal fun printVersion(answer: JsonObject) {
    val version = answer.getLong("version")
    println(if (answer.getBoolean("changed")) "version $version" else "no change, version $version")
}

/** Renders a section for a patch. */
internal fun sectionText(name: String, values: Map<String, String>): String = renderIni(
    ConfigDocument(
        kotlinx.collections.immutable.persistentMapOf(
            name to kotlinx.collections.immutable.persistentMapOf<String, String>().putAll(values)
        )
    )
)
