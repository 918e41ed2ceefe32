package cactusfold.decisions.suspect

import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** Identifies the crash of one start of an upstream; several processes may observe it. */
public data class CrashId(public val upstream: String, public val startedAtEpochMillis: Long)

/**
 * A crash of an upstream.
 *
 * @property blocks prompt blocks of the requests that may have caused it.
 * @property atMillis the earliest time at which it was observed.
 */
public data class BlockCrash(public val blocks: PersistentSet<String>, public val atMillis: Long)

/**
 * Blocks that were part of the same crashes, so that it is not known which of them is at fault. A
 * request is refused if it contains all of them.
 *
 * @property crashes the crashes that the group explains.
 * @property isKnownSound whether all blocks were once part of complete answers.
 * @property untilMillis end of the blame, unless a block is cleared before.
 */
public data class BlamedGroup(
    public val blocks: ImmutableSet<String>,
    public val crashes: ImmutableSet<CrashId>,
    public val isKnownSound: Boolean,
    public val lastCrashAtMillis: Long,
    public val untilMillis: Long
)

/**
 * How often a block was blamed for the whole retention time and never cleared.
 *
 * @property endedAtMillis end of the last blame.
 */
public data class PastBlame(public val times: Int, public val endedAtMillis: Long)

/**
 * What is known about prompt blocks, bounded in size.
 *
 * @property completedAtMillis time of the last complete answer by block, least recent first.
 */
public data class PromptBlockState(
    public val crashes: PersistentMap<CrashId, BlockCrash> = persistentMapOf(),
    public val completedAtMillis: PersistentMap<String, Long> = persistentMapOf(),
    public val groups: PersistentList<BlamedGroup> = persistentListOf(),
    public val past: PersistentMap<String, PastBlame> = persistentMapOf()
)
