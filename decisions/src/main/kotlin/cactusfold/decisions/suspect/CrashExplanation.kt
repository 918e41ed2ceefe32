package cactusfold.decisions.suspect

import kotlin.math.abs
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.collections.immutable.toPersistentList

/**
 * Attributes crashes to as few prompt blocks as possible: the block with the most crashes first,
 * whose crashes then do not count against others.
 */
internal class CrashExplanation(private val settings: PromptBlockSettings) {
    /** A block with the crashes that are not explained yet and that it was not cleared of. */
    private class Candidate(
        val block: String,
        val crashes: Set<CrashId>,
        val moments: Int,
        val isKnownSound: Boolean
    )

    /** Returns [state] with the groups that its crashes and completions lead to. */
    fun update(state: PromptBlockState): PromptBlockState {
        val crashesByBlock = unclearedCrashes(state)
        val groups = mutableListOf<BlamedGroup>()
        val open = state.crashes.keys.toMutableSet()
        while (true) {
            val candidates = crashesByBlock.mapNotNull { (block, ids) ->
                candidate(state, block, ids intersect open)
            }
            val worst = candidates.maxWithOrNull(
                compareBy<Candidate> { it.moments }.thenBy { !it.isKnownSound }
                    .thenBy { it.crashes.size }.thenByDescending { it.block }
            ) ?: break
            val same = candidates.filter {
                it.crashes == worst.crashes && it.isKnownSound == worst.isKnownSound
            }
            groups += blame(state, same, worst)
            open -= worst.crashes
        }
        val earlier = state.groups.mapNotNull { remaining(state, it, groups) }
        return state.copy(groups = (groups + earlier).toPersistentList())
    }

    /** Returns whether [block] was completed after a crash at [crashAtMillis] or shortly before. */
    fun isCleared(state: PromptBlockState, block: String, crashAtMillis: Long): Boolean {
        val completedAtMillis = state.completedAtMillis[block] ?: return false
        return crashAtMillis <= completedAtMillis + settings.clearanceMillis
    }

    private fun unclearedCrashes(state: PromptBlockState): Map<String, Set<CrashId>> {
        val crashesByBlock = HashMap<String, MutableSet<CrashId>>()
        for ((id, crash) in state.crashes) {
            for (block in crash.blocks) {
                if (!isCleared(state, block, crash.atMillis)) {
                    crashesByBlock.getOrPut(block) { mutableSetOf() } += id
                }
            }
        }
        return crashesByBlock
    }

    private fun candidate(state: PromptBlockState, block: String, ids: Set<CrashId>): Candidate? {
        if (ids.isEmpty()) return null
        val moments = moments(state, block, ids)
        val isKnownSound = block in state.completedAtMillis
        val minMoments = when {
            block in state.past -> 1
            isKnownSound -> settings.minMomentsKnownSound
            else -> settings.minMoments
        }
        return Candidate(block, ids, moments, isKnownSound).takeIf { moments >= minMoments }
    }

    /**
     * Counts the moments of the crashes [ids]. A moment at which half or more of the crashes were
     * of prompts without [block] has another cause, such as a power failure, and does not count.
     */
    private fun moments(state: PromptBlockState, block: String, ids: Set<CrashId>): Int {
        var count = 0
        var lastMillis = Long.MIN_VALUE / 2
        for (atMillis in ids.map { state.crashes.getValue(it).atMillis }.sorted()) {
            if (atMillis - lastMillis < settings.momentMillis) continue
            val near = state.crashes.values.filter {
                abs(it.atMillis - atMillis) < settings.momentMillis
            }
            if (near.count { block in it.blocks } * 2 <= near.size) continue
            count++
            lastMillis = atMillis
        }
        return count
    }

    private fun blame(
        state: PromptBlockState,
        same: List<Candidate>,
        worst: Candidate
    ): BlamedGroup {
        val times = same.maxOf { state.past[it.block]?.times ?: 0 }.coerceAtMost(MAX_DOUBLINGS)
        val firstMillis = if (worst.isKnownSound) {
            settings.knownSoundRetentionMillis
        } else {
            settings.retentionMillis
        }
        val termMillis = (firstMillis shl times).coerceAtMost(settings.maxRetentionMillis)
        val lastMillis = worst.crashes.maxOf { state.crashes.getValue(it).atMillis }
        return BlamedGroup(
            same.map { it.block }.toImmutableSet(),
            worst.crashes.toImmutableSet(),
            worst.isKnownSound,
            lastMillis,
            lastMillis + termMillis
        )
    }

    /**
     * Returns what is left of an [earlier] group of which a crash had to be forgotten, or null. As
     * long as all are kept, [current] follows from them.
     */
    private fun remaining(
        state: PromptBlockState,
        earlier: BlamedGroup,
        current: List<BlamedGroup>
    ): BlamedGroup? {
        val isKept = earlier.crashes.all { it in state.crashes }
        if (isKept || current.any { it.blocks.any(earlier.blocks::contains) }) return null
        val blocks = earlier.blocks.filterNot {
            isCleared(state, it, earlier.lastCrashAtMillis)
        }
        return if (blocks.isEmpty()) null else earlier.copy(blocks = blocks.toImmutableSet())
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}
