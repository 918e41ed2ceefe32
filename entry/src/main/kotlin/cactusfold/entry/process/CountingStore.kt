package cactusfold.entry.process

import cactusfold.ports.table.ChangeFeed
import cactusfold.ports.table.FeedResult
import cactusfold.ports.table.ReadResult
import cactusfold.ports.table.Row
import cactusfold.ports.table.RowKey
import cactusfold.ports.table.RowWrite
import cactusfold.ports.table.TableStore
import cactusfold.ports.table.WriteResult
import io.micrometer.core.instrument.MeterRegistry

/** The role in the fleet for which a process calls the store. */
public enum class StoreCallReason { COORDINATOR, MEMBER, NO_CONTACT }

/** Counts the calls to [store] by table, kind of call, reason and whether they succeeded. */
public class CountingStore<A>(
    private val store: A,
    private val registry: MeterRegistry,
    private val reason: () -> StoreCallReason
) : TableStore,
    ChangeFeed where A : TableStore, A : ChangeFeed {

    override suspend fun get(key: RowKey): ReadResult<Row?> =
        store.get(key).also { count(key.partition, "get", it is ReadResult.Found) }

    override suspend fun list(partition: String, after: String, limit: Int): ReadResult<List<Row>> =
        store.list(partition, after, limit)
            .also { count(partition, "list", it is ReadResult.Found) }

    override suspend fun write(writes: List<RowWrite>): WriteResult = store.write(writes).also {
        val isAnswered = it is WriteResult.Written || it is WriteResult.Conflict
        count(writes.firstOrNull()?.key?.partition.orEmpty(), "write", isAnswered)
    }

    override suspend fun snapshot(table: String): FeedResult =
        store.snapshot(table).also { count(table, "snapshot", it !is FeedResult.Unavailable) }

    override suspend fun changes(table: String, position: Long, waitMillis: Long): FeedResult =
        store.changes(table, position, waitMillis)
            .also { count(table, "changes", it !is FeedResult.Unavailable) }

    private fun count(table: String, call: String, isAnswered: Boolean) {
        registry.counter(
            "cactusfold.store.calls",
            "table",
            table,
            "call",
            call,
            "reason",
            reason().name.lowercase().replace('_', '-'),
            "answered",
            "$isAnswered"
        ).increment()
    }
}
