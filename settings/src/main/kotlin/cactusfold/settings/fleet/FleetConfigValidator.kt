package cactusfold.settings.fleet

import cactusfold.decisions.config.ConfigDocument
import cactusfold.settings.ini.IniDocument
import cactusfold.settings.ini.IniResult
import cactusfold.settings.ini.IniText
import cactusfold.settings.schema.Problem
import cactusfold.settings.schema.SchemaValidator
import kotlinx.collections.immutable.toPersistentMap

/** The result of validating a configuration document. */
public sealed interface FleetConfigResult {
    /** The document is valid and may be applied. */
    public data class Valid(public val document: ConfigDocument) : FleetConfigResult

    /** The document is invalid; [problems] contains every reason. */
    public data class Invalid(public val problems: List<Problem>) : FleetConfigResult
}

/** Validates configuration documents: against the schema, and that all references resolve. */
public object FleetConfigValidator {
    /** Validates the configuration document in INI format. */
    public fun check(text: String): FleetConfigResult = when (val parsed = IniText.parse(text)) {
        is IniResult.Malformed -> FleetConfigResult.Invalid(
            listOf(Problem(parsed.line, parsed.reason))
        )
        is IniResult.Parsed -> check(parsed.document)
    }

    private fun check(ini: IniDocument): FleetConfigResult {
        val schemaProblems = SchemaValidator.problems(fleetSchema, ini)
        if (schemaProblems.isNotEmpty()) return FleetConfigResult.Invalid(schemaProblems)
        val sections = ini.sections.mapValues { it.value.toPersistentMap() }.toPersistentMap()
        val document = ConfigDocument(sections)
        val problems = referenceProblems(ini, FleetConfig.of(0, document))
        return if (problems.isEmpty()) {
            FleetConfigResult.Valid(document)
        } else {
            FleetConfigResult.Invalid(problems)
        }
    }

    private fun referenceProblems(ini: IniDocument, config: FleetConfig): List<Problem> {
        val problems = mutableListOf<Problem>()
        fun expect(holds: Boolean, section: String, key: String, message: String) {
            if (!holds) problems += Problem(ini.lines.find(section, key), "$message in [$section]")
        }
        for (route in config.routes) {
            val section = "route ${route.name}"
            expect(
                route.pathPrefix.startsWith('/'),
                section,
                "path_prefix",
                "path_prefix does not start with /"
            )
            expect(
                route.workClass in config.classes,
                section,
                "class",
                "unknown class ${route.workClass}"
            )
            for (name in route.services.orEmpty()) {
                expect(name in config.services, section, "upstreams", "unknown service $name")
            }
            expect(route.services?.isEmpty() != true, section, "upstreams", "no upstream given")
        }
        for (key in config.keysByDigest.values) {
            val known = key.workspace in config.workspaces
            expect(known, "key ${key.id}", "workspace", "unknown workspace ${key.workspace}")
        }
        for ((name, model) in config.models) {
            val base = model.spec.base
            val isBase = base == null || config.models[base]?.spec?.base == null
            expect(
                base == null || base in config.models,
                "model $name",
                "base",
                "unknown base $base"
            )
            expect(isBase, "model $name", "base", "$base is an adapter, not a base model")
            val classKnown = model.workClass == null || model.workClass in config.classes
            expect(classKnown, "model $name", "class", "unknown class ${model.workClass}")
        }
        for (workspace in config.workspaces.values) {
            for (model in workspace.models.orEmpty()) {
                val section = "workspace ${workspace.name}"
                expect(model in config.models, section, "models", "unknown model $model")
            }
        }
        for ((name, runner) in config.runners) {
            val hasMemory = runner.spec.modelMemoryBytes > 0
            expect(hasMemory, "upstream $name", "memory_bytes", "no memory left for models")
        }
        return problems
    }
}
