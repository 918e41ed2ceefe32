package cactusfold.node.rows

import cactusfold.decisions.Rendezvous

/**
 * Names of shards, the units for which a controller holds a lease: one for each placement cell, and
 * a fixed number for the rates of workspaces.
 */
public object Shards {
    private const val CELL_PREFIX = "cell/"
    private const val RATE_PREFIX = "rates/"
    private const val RATE_SHARDS = 16

    /** All shards for the rates of workspaces. */
    public val allRateShards: Set<String> =
        (0 until RATE_SHARDS).mapTo(mutableSetOf()) { RATE_PREFIX + it }

    /** Returns the shard for the rate of [workspace]. */
    public fun ofRate(workspace: String): String =
        RATE_PREFIX + Rendezvous.bucket(workspace, RATE_SHARDS)

    /** Returns the shard of the placement cell [cell]. */
    public fun ofCell(cell: String): String = CELL_PREFIX + cell

    /** Returns the cell of [shard], or null if it is a shard of another kind. */
    public fun cellOf(shard: String): String? =
        shard.removePrefix(CELL_PREFIX).takeIf { shard.startsWith(CELL_PREFIX) }
}
