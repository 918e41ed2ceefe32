package cactusfold.node.rows

import cactusfold.decisions.Rendezvous

/** Names of shards: what a controller may hold. */
public object Shards {
    private const val CELL_PREFIX = "cell/"
    private const val RATE_PREFIX = "rates/"
    private const val RATE_SHARDS = 16

    /** All shards of workspaces' rates. */
    public val allRateShards: Set<String> =
        (0 until RATE_SHARDS).mapTo(mutableSetOf()) { RATE_PREFIX + it }

    /** Returns the shard that [workspace]'s rate belongs to. */
    public fun ofRate(workspace: String): String =
        RATE_PREFIX + Rendezvous.bucket(workspace, RATE_SHARDS)

    /** Returns the shard of the placement cell [cell]. */
    public fun ofCell(cell: String): String = CELL_PREFIX + cell

    /** Returns the cell of [shard], or null when it is a shard of another kind. */
    public fun cellOf(shard: String): String? =
        shard.removePrefix(CELL_PREFIX).takeIf { shard.startsWith(CELL_PREFIX) }
}
