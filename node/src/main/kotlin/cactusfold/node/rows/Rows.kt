package cactusfold.node.rows

import cactusfold.decisions.config.ConfigEntry
import cactusfold.decisions.config.ConfigPatch
import cactusfold.decisions.placement.Order
import cactusfold.decisions.placement.OrderKind
import cactusfold.decisions.placement.OrderPhase
import cactusfold.ports.table.RowKey
import cactusfold.protocol.ConfigEntry as ConfigEntryMessage
import cactusfold.protocol.ConfigSection
import cactusfold.protocol.StoredIntent
import kotlinx.collections.immutable.toPersistentMap

/** Keys of the rows in the platform's table. */
public object Rows {
    /** Partition of session rows. */
    public const val SESSIONS: String = "session"

    /** Partition of shard rows. */
    public const val SHARDS: String = "shard"

    /** Partition of the configuration log. */
    public const val CONFIG: String = "config"

    private const val VERSION_DIGITS = 12
    private const val CLAIM_PARTITIONS = 64

    /** Returns the key of a session row. */
    public fun session(session: String): RowKey = RowKey(SESSIONS, session)

    /** Returns the key of a shard row. */
    public fun shard(shard: String): RowKey = RowKey(SHARDS, shard)

    /** Returns the key of a configuration entry. */
    public fun config(version: Long): RowKey = RowKey(CONFIG, configSortKey(version))

    /**
     * Returns the sort key of a configuration entry. It is padded with zeros, so that keys sort by
     * version.
     */
    public fun configSortKey(version: Long): String =
        version.toString().padStart(VERSION_DIGITS, '0')

    /** Returns the key of the write-ahead intent of the order [orderId] in [cell]. */
    public fun intent(cell: String, orderId: String): RowKey = RowKey(intents(cell), orderId)

    /** Returns the partition of the write-ahead intents of [cell]. */
    public fun intents(cell: String): String = "intent/$cell"

    /** Returns the key of an idempotency claim. Claims are spread over several partitions. */
    public fun claim(workspace: String, idempotencyKey: String): RowKey {
        val place = cactusfold.decisions.Rendezvous.bucket(idempotencyKey, CLAIM_PARTITIONS)
        return RowKey("claim/$place", "$workspace/$idempotencyKey")
    }
}

/** Returns this entry as a protocol message. */
public fun ConfigEntry.toMessage(): ConfigEntryMessage = ConfigEntryMessage.newBuilder()
    .setVersion(version)
    .setOperationId(operationId)
    .setAuthor(author)
    .setAcceptedAtEpochMillis(acceptedAtEpochMillis)
    .setComment(comment)
    .addAllRemovals(patch.removals)
    .addAllUpserts(
        patch.upserts.map { (name, values) ->
            ConfigSection.newBuilder().setName(name).putAllValues(values).build()
        }
    )
    .build()

/** Returns the configuration entry in this protocol message. */
public fun ConfigEntryMessage.toEntry(): ConfigEntry = ConfigEntry(
    version,
    operationId,
    author,
    acceptedAtEpochMillis,
    ConfigPatch(
        upsertsList.associate { it.name to it.valuesMap.toPersistentMap() }.toPersistentMap(),
        removalsList.toSet()
    ),
    comment
)

/** Returns the write-ahead intent of this order as stored in the row of [cell]. */
public fun Order.toIntent(cell: String): StoredIntent = StoredIntent.newBuilder()
    .setOrderId(id)
    .setCell(cell)
    .setRunner(runner)
    .setModel(model)
    .setMemoryBytes(memoryBytes)
    .setFence(fence)
    .build()

/**
 * Returns the order of this intent as the next holder of the cell must treat it: as sent, with an
 * unknown outcome.
 */
public fun StoredIntent.toOrder(nowMillis: Long): Order = Order(
    orderId,
    OrderKind.LOAD,
    runner,
    model,
    memoryBytes,
    fence,
    OrderPhase.SENT,
    nowMillis
)
