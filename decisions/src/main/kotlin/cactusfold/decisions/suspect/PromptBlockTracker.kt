package cactusfold.decisions.suspect

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet

/**
 * Finds the prompt blocks that crash upstreams, from the blocks of requests that were in flight at
 * crashes and of requests that were completed. Processes exchange both.
 */
public class PromptBlockTracker(private val settings: PromptBlockSettings) {
    private val explanation = CrashExplanation(settings)

    /**
     * Records that the crash [id] at [atMillis] may have been caused by one of [blocks]. Reports
     * about the same crash are merged.
     */
    public fun crashed(
        state: PromptBlockState,
        id: CrashId,
        blocks: Collection<String>,
        atMillis: Long,
        nowMillis: Long
    ): PromptBlockState {
        val current = expire(state, nowMillis)
        val before = current.crashes[id]
        val all = before?.blocks.orEmpty() + blocks
        val merged = BlockCrash(
            all.take(settings.maxBlocksPerCrash).toPersistentSet(),
            minOf(before?.atMillis ?: atMillis, atMillis)
        )
        if (merged == before || nowMillis - atMillis >= settings.retentionMillis) return current
        var crashes = current.crashes.put(id, merged)
        if (crashes.size > settings.maxCrashes) {
            crashes = crashes.remove(crashes.entries.minBy { it.value.atMillis }.key)
        }
        return explanation.update(current.copy(crashes = crashes))
    }

    /**
     * Records that a request with [blocks] was answered completely and successfully at [atMillis].
     * Only that is proof of soundness: the first part of an answer may precede a crash.
     */
    public fun completed(
        state: PromptBlockState,
        blocks: Collection<String>,
        atMillis: Long,
        nowMillis: Long
    ): PromptBlockState {
        var completed = state.completedAtMillis
        for (block in blocks) {
            if ((completed[block] ?: Long.MIN_VALUE) >= atMillis) continue
            completed = completed.remove(block).put(block, atMillis)
        }
        while (completed.size > settings.maxCompletedBlocks) {
            completed = completed.remove(completed.keys.first())
        }
        val next = state.copy(completedAtMillis = completed)
        if (blocks.none { isSuspected(state, it) }) return next
        return explanation.update(clearPast(expire(next, nowMillis), blocks))
    }

    /** Returns whether [block] is part of a crash that it is not cleared of, or was blamed once. */
    public fun isSuspected(state: PromptBlockState, block: String): Boolean = block in state.past ||
        state.groups.any { block in it.blocks } ||
        state.crashes.values.any {
            block in it.blocks && !explanation.isCleared(state, block, it.atMillis)
        }

    /** Returns the group for which a request with [blocks] is refused, or null if it may run. */
    public fun judge(
        state: PromptBlockState,
        blocks: Collection<String>,
        nowMillis: Long
    ): BlamedGroup? =
        state.groups.firstOrNull { nowMillis < it.untilMillis && blocks.containsAll(it.blocks) }

    /** Forgets what is too old; a blame that lasted until its end is remembered as a past one. */
    public fun expire(state: PromptBlockState, nowMillis: Long): PromptBlockState {
        val (live, ended) = state.groups.partition { nowMillis < it.untilMillis }
        val needed = live.flatMap { it.crashes }.toSet()
        val spent = ended.flatMap { it.crashes }.toSet()
        val forgotten = state.crashes.filter { (id, crash) ->
            id in spent ||
                (id !in needed && nowMillis - crash.atMillis >= settings.retentionMillis)
        }.keys
        if (ended.isEmpty() && forgotten.isEmpty()) return state
        val past = ended.flatMap { it.blocks }.fold(state.past) { all, block ->
            all.put(block, PastBlame((all[block]?.times ?: 0) + 1, nowMillis))
        }
        return state.copy(
            crashes = forgotten.fold(state.crashes) { all, id -> all.remove(id) },
            groups = live.toPersistentList(),
            past = forget(past, nowMillis)
        )
    }

    private fun forget(
        past: PersistentMap<String, PastBlame>,
        nowMillis: Long
    ): PersistentMap<String, PastBlame> {
        val old = past.filterValues {
            nowMillis - it.endedAtMillis >= settings.maxRetentionMillis
        }.keys
        var kept = old.fold(past) { all, block -> all.remove(block) }
        while (kept.size > settings.maxCompletedBlocks) kept = kept.remove(kept.keys.first())
        return kept
    }

    private fun clearPast(state: PromptBlockState, blocks: Collection<String>): PromptBlockState =
        state.copy(past = blocks.fold(state.past) { all, block -> all.remove(block) })
}
