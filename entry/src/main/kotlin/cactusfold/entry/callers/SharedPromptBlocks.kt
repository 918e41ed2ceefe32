package cactusfold.entry.callers

import cactusfold.decisions.suspect.BlamedGroup
import cactusfold.decisions.suspect.CrashId
import cactusfold.decisions.suspect.PromptBlockSettings
import cactusfold.decisions.suspect.PromptBlockState
import cactusfold.decisions.suspect.PromptBlockTracker
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.entry.CompletedBlock
import cactusfold.protocol.entry.PromptCrash

/**
 * Finds the prompt blocks that crash upstreams whatever else a request holds. Entry processes
 * exchange the crashes, and completions of the blocks that these make suspect.
 */
public class SharedPromptBlocks(
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val wake: () -> Unit
) {
    private val tracker = PromptBlockTracker(PromptBlockSettings())
    private var state = PromptBlockState()
    private val unsentCrashes = LinkedHashMap<CrashId, Long>()
    private val unsentCompletions = LinkedHashMap<String, Long>()

    /** Whether a request with [blocks] would probably crash the upstream that it is sent to. */
    public fun isRefused(blocks: Collection<String>): Boolean =
        state.groups.isNotEmpty() && tracker.judge(state, blocks, clock.nowMillis()) != null

    /** Whether the crash [id] is known, here or at another process. */
    public fun isKnown(id: CrashId): Boolean = id in state.crashes

    /** Records the crash [id] at [atMillis] under requests with [blocks], seen by this process. */
    public fun crashed(id: CrashId, blocks: Collection<String>, atMillis: Long) {
        if (!recordCrash(id, blocks, atMillis)) return
        unsentCrashes[id] = clock.nowMillis()
        wake()
    }

    /** Records a complete successful answer to a request with [blocks]. */
    public fun completed(blocks: Collection<String>) {
        val nowMillis = clock.nowMillis()
        val suspected = blocks.filter { tracker.isSuspected(state, it) }
        change { tracker.completed(it, blocks, nowMillis, nowMillis) }
        report(suspected)
    }

    /** Records a crash that another process has reported. */
    public fun reported(crash: PromptCrash) {
        val id = CrashId(crash.upstream, crash.startedAtEpochMillis)
        recordCrash(id, crash.blocksList, clock.nowMillis() - crash.ageMillis)
    }

    /** Records a completion that another process has reported. */
    public fun reported(completed: CompletedBlock) {
        val nowMillis = clock.nowMillis()
        val atMillis = nowMillis - completed.ageMillis
        change { tracker.completed(it, listOf(completed.block), atMillis, nowMillis) }
    }

    /** Returns the crashes to report to the other processes, each for a while. */
    public fun takeUnsentCrashes(): List<PromptCrash> {
        val nowMillis = clock.nowMillis()
        unsentCrashes.values.removeAll { nowMillis - it > REPEAT_MILLIS }
        return unsentCrashes.keys.mapNotNull(::message)
    }

    /** Returns the completions to report to the other processes, each for a while. */
    public fun takeUnsentCompletions(): List<CompletedBlock> {
        val nowMillis = clock.nowMillis()
        unsentCompletions.values.removeAll { nowMillis - it > REPEAT_MILLIS }
        return unsentCompletions.keys.mapNotNull(::completion)
    }

    /** Returns all crashes that still count, for a process that may have just started. */
    public fun knownCrashes(): List<PromptCrash> = state.crashes.keys.mapNotNull(::message)

    /** Returns the last completions of all blocks that were part of crashes. */
    public fun knownCompletions(): List<CompletedBlock> =
        state.crashes.values.flatMapTo(mutableSetOf()) { it.blocks }.mapNotNull(::completion)

    private fun completion(block: String): CompletedBlock? {
        val atMillis = state.completedAtMillis[block] ?: return null
        return CompletedBlock.newBuilder().setBlock(block)
            .setAgeMillis(clock.nowMillis() - atMillis).build()
    }

    private fun message(id: CrashId): PromptCrash? {
        val crash = state.crashes[id] ?: return null
        return PromptCrash.newBuilder().setUpstream(id.upstream)
            .setStartedAtEpochMillis(id.startedAtEpochMillis).addAllBlocks(crash.blocks)
            .setAgeMillis(clock.nowMillis() - crash.atMillis).build()
    }

    /** Returns whether the crash, or that [blocks] were part of it, was not known before. */
    private fun recordCrash(id: CrashId, blocks: Collection<String>, atMillis: Long): Boolean {
        val knownBlocks = state.crashes[id]?.blocks.orEmpty()
        change { tracker.crashed(it, id, blocks, atMillis, clock.nowMillis()) }
        val blocksNow = state.crashes[id]?.blocks.orEmpty()
        if (blocksNow.size == knownBlocks.size) return false
        events.write(
            "prompt-crash",
            "upstream" to id.upstream,
            "blocks" to text(blocksNow),
            "age_ms" to clock.nowMillis() - atMillis,
            "crashes" to state.crashes.size
        )
        // What was completed here before is news to processes that have not seen it.
        report(blocks.filter { it in state.completedAtMillis })
        return true
    }

    /** Has [blocks] reported; each crash leads to one report of a block, as that clears it. */
    private fun report(blocks: Collection<String>) {
        if (blocks.isEmpty()) return
        val nowMillis = clock.nowMillis()
        blocks.forEach { unsentCompletions[it] = nowMillis }
        wake()
    }

    private fun change(step: (PromptBlockState) -> PromptBlockState) {
        val before = state.groups
        state = step(state)
        if (state.groups === before) return
        val blamedBefore = before.mapTo(mutableSetOf()) { it.blocks }
        val blamed = state.groups.mapTo(mutableSetOf()) { it.blocks }
        state.groups.filter { it.blocks !in blamedBefore }.forEach { log("prompt-blamed", it) }
        before.filter { it.blocks !in blamed }.forEach { log("prompt-cleared", it) }
    }

    private fun log(event: String, group: BlamedGroup) {
        val nowMillis = clock.nowMillis()
        events.write(
            event,
            "blocks" to text(group.blocks),
            "crashes" to group.crashes.size,
            "known_sound" to group.isKnownSound,
            "last_crash_age_ms" to nowMillis - group.lastCrashAtMillis,
            "left_ms" to group.untilMillis - nowMillis
        )
    }

    private fun text(blocks: Collection<String>): String =
        blocks.take(MAX_LOGGED_BLOCKS).joinToString(",") +
            if (blocks.size > MAX_LOGGED_BLOCKS) ",... (${blocks.size})" else ""

    private companion object {
        /** A crash or completion is part of each report for this time; one may be lost. */
        const val REPEAT_MILLIS = 1_000L
        const val MAX_LOGGED_BLOCKS = 20
    }
}
