package cactusfold.decisions.config

import cactusfold.decisions.Step
import cactusfold.decisions.invariant
import cactusfold.decisions.unchanged
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/** The values of one section of a configuration document, by key. */
public typealias SectionValues = PersistentMap<String, String>

/** The configuration set by operators: sections by name, such as `class bookings`. */
public data class ConfigDocument(
    public val sections: PersistentMap<String, SectionValues> = persistentMapOf()
) {
    /** Returns this document with [patch] applied. */
    public fun apply(patch: ConfigPatch): ConfigDocument = ConfigDocument(
        patch.removals.fold(sections.putAll(patch.upserts)) { map, name -> map.remove(name) }
    )

    /** Returns the patch that turns this document into [target]. */
    public fun patchTo(target: ConfigDocument): ConfigPatch = ConfigPatch(
        upserts = target.sections.filter { (name, values) -> sections[name] != values }
            .toPersistentMap(),
        removals = sections.keys - target.sections.keys
    )
}

/** A change of a document: sections added or replaced, and names of sections removed. */
public data class ConfigPatch(
    public val upserts: PersistentMap<String, SectionValues> = persistentMapOf(),
    public val removals: Set<String> = emptySet()
) {
    /** Whether the patch changes nothing. */
    public val isEmpty: Boolean get() = upserts.isEmpty() && removals.isEmpty()
}

/**
 * One accepted change. There is at most one entry per [version], because its row is inserted only
 * if absent.
 */
public data class ConfigEntry(
    public val version: Long,
    public val operationId: String,
    public val author: String,
    public val acceptedAtEpochMillis: Long,
    public val patch: ConfigPatch,
    public val comment: String
)

/**
 * The configuration in force in one process.
 *
 * @property waiting entries that arrived before their predecessors.
 */
public data class ConfigLogState(
    public val version: Long = 0,
    public val document: ConfigDocument = ConfigDocument(),
    public val waiting: PersistentMap<Long, ConfigEntry> = persistentMapOf()
)

/** An action that [ConfigLog] asks its caller to perform. */
public sealed interface ConfigLogEffect {
    /** Puts [document] of [version] into force. */
    public data class InForce(public val version: Long, public val document: ConfigDocument) :
        ConfigLogEffect

    /** Fetches the entries after [version], which are missing before later ones can be applied. */
    public data class Fetch(public val version: Long) : ConfigLogEffect
}

/**
 * Applies configuration entries in order of their versions, whichever source they come from. The
 * version in force never decreases.
 */
public object ConfigLog {
    /** Adds [entries], which may be outdated, duplicated or out of order. */
    public fun offer(
        state: ConfigLogState,
        entries: List<ConfigEntry>
    ): Step<ConfigLogState, ConfigLogEffect> {
        val newer = entries.filter { it.version > state.version }
        if (newer.isEmpty()) return state.unchanged()
        val collected = state.copy(waiting = state.waiting.putAll(newer.associateBy { it.version }))
        val next = generateSequence(collected, ::applyNext).last()
        invariant(next.version >= state.version) { "the configuration version must not decrease" }
        return Step(next, effects(state, next))
    }

    private fun applyNext(state: ConfigLogState): ConfigLogState? {
        val entry = state.waiting[state.version + 1] ?: return null
        return ConfigLogState(
            entry.version,
            state.document.apply(entry.patch),
            state.waiting.remove(entry.version)
        )
    }

    private fun effects(before: ConfigLogState, after: ConfigLogState): List<ConfigLogEffect> =
        buildList {
            if (after.version > before.version) {
                add(ConfigLogEffect.InForce(after.version, after.document))
            }
            if (after.waiting.isNotEmpty()) add(ConfigLogEffect.Fetch(after.version))
        }
}
