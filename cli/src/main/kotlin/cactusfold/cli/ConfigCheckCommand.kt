package cactusfold.cli

import cactusfold.node.launch.ExitCode
import cactusfold.platform.check.ChangeKind
import cactusfold.platform.check.CheckedConfig
import cactusfold.platform.check.ConfigChange
import cactusfold.platform.check.ConfigChanges
import cactusfold.platform.check.ConfigDocumentCheck
import cactusfold.platform.check.Finding
import cactusfold.platform.check.RetryBounds
import cactusfold.platform.check.Severity
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import java.io.IOException
import java.io.PrintWriter
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec

/** Checks a configuration of the users' platform in a file. It calls no store and no controller. */
@Command(
    name = "check",
    description = ["Checks a JSON configuration of the users' platform before it is written."],
    footer = [
        "Exit codes: 0 no errors, 64 invalid command line, 65 errors, or warnings with --strict."
    ]
)
internal class ConfigCheckCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Parameters(paramLabel = "FILE.json", description = ["The configuration to check."])
    lateinit var file: Path

    @Option(
        names = ["--against"],
        paramLabel = "FILE.json",
        description = ["The version in force; prints what changes for callers."]
    )
    var against: Path? = null

    @Option(names = ["--json"], description = ["Print one JSON object."])
    var isJson: Boolean = false

    @Option(names = ["--strict"], description = ["Fail on warnings, too."])
    var isStrict: Boolean = false

    @Option(
        names = ["--retry-ratio"],
        paramLabel = "RATIO",
        description = ["The entry processes' retry-ratio (\${DEFAULT-VALUE})."],
        defaultValue = "0.2"
    )
    var retryRatio: Double = 0.0

    override fun call(): Int {
        if (!(retryRatio >= 0 && retryRatio.isFinite())) {
            throw ParameterException(spec.commandLine(), "--retry-ratio must be 0 or more")
        }
        val checked = check(file)
        val current = against?.let(::check)
        val findings = checked.findings + current?.let { versionFindings(checked, it) }.orEmpty()
        val changes = checked.config?.let { next ->
            current?.config?.let { ConfigChanges.between(it, next) }
        }
        val out = spec.commandLine().out
        if (isJson) {
            out.println(jsonOf(findings, changes).encodePrettily())
        } else {
            printText(out, findings, changes)
        }
        out.flush()
        val isRejected = findings.any { it.severity == Severity.ERROR || isStrict }
        return if (isRejected) ExitCode.DATA else ExitCode.OK
    }

    /** A version in force that cannot be read is an error, since nothing can be compared then. */
    private fun versionFindings(checked: CheckedConfig, current: CheckedConfig): List<Finding> {
        val inForce = current.config
            ?: return current.findings.map { it.copy(place = "--against ${it.place}".trim()) }
        return checked.config?.let { ConfigChanges.checkVersion(inForce, it) }.orEmpty()
    }

    private fun check(path: Path): CheckedConfig {
        val bytes = try {
            // One byte more than is allowed shows that a file is too large without reading it all.
            Files.newInputStream(path).use { it.readNBytes(ConfigDocumentCheck.MAX_BYTES + 1) }
        } catch (e: IOException) {
            val finding = Finding(Severity.ERROR, "", "$path cannot be read: $e", "use a file")
            return CheckedConfig(null, listOf(finding))
        }
        return ConfigDocumentCheck.check(bytes, RetryBounds(retryRatio))
    }

    private fun printText(out: PrintWriter, findings: List<Finding>, changes: List<ConfigChange>?) {
        for (finding in findings) {
            val place = if (finding.place.isEmpty()) "" else "${finding.place}: "
            val severity = finding.severity.name.lowercase()
            out.println("$severity: $place${finding.problem}; ${finding.remedy}")
        }
        for (change in changes.orEmpty()) {
            val sign = when (change.kind) {
                ChangeKind.ADDED -> '+'
                ChangeKind.CHANGED -> '~'
                ChangeKind.REMOVED -> '-'
            }
            out.println("$sign ${change.entry}: ${change.effect}")
        }
        if (changes?.isEmpty() == true) out.println("no change")
        val errors = findings.count { it.severity == Severity.ERROR }
        out.println("$file: $errors errors, ${findings.size - errors} warnings")
    }

    private fun jsonOf(findings: List<Finding>, changes: List<ConfigChange>?): JsonObject {
        val json = JsonObject().put("findings", JsonArray(findings.map(::jsonOf)))
        return if (changes == null) json else json.put("changes", JsonArray(changes.map(::jsonOf)))
    }

    private fun jsonOf(finding: Finding) = JsonObject()
        .put("severity", finding.severity.name.lowercase()).put("place", finding.place)
        .put("problem", finding.problem).put("remedy", finding.remedy)

    private fun jsonOf(change: ConfigChange) = JsonObject()
        .put("kind", change.kind.name.lowercase()).put("entry", change.entry)
        .put("effect", change.effect)
}
