package cactusfold.node.events

import cactusfold.protocol.EventQuery
import cactusfold.protocol.EventRecord
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReferenceArray

/**
 * Ring buffer of the latest events of this process. It is kept in memory only, since VMs have no
 * disks.
 */
public class EventRing(
    private val process: String,
    private val vm: String,
    private val clock: HybridLogicalClock,
    private val capacity: Int
) {
    private class Entry(val stamp: Long, val event: NodeEvent)

    private val entries = AtomicReferenceArray<Entry>(maxOf(capacity, 1))
    private val written = AtomicLong()

    /** Adds [event], replacing the oldest one if the buffer is full. Capacity 0 keeps none. */
    public fun add(event: NodeEvent) {
        if (capacity == 0) return
        val entry = Entry(clock.next(), event)
        entries.set((written.getAndIncrement() % capacity).toInt(), entry)
    }

    /**
     * Returns the events that match [query], oldest first. If there are more than its limit, only
     * the latest are returned.
     */
    public fun find(query: EventQuery): List<EventRecord> {
        val since = HybridLogicalClock.stampAt(query.sinceEpochMillis)
        val limit = if (query.limit > 0) query.limit else DEFAULT_LIMIT
        return (0 until entries.length()).mapNotNull { entries.get(it) }
            .filter { it.stamp >= since && matches(it.event, query) }
            .sortedBy { it.stamp }
            .takeLast(limit)
            .map(::record)
    }

    private fun matches(event: NodeEvent, query: EventQuery): Boolean =
        (query.requestId.isEmpty() || event.requestId == query.requestId) &&
            (query.model.isEmpty() || event.model == query.model) &&
            (query.workspace.isEmpty() || event.workspace == query.workspace)

    private fun record(entry: Entry): EventRecord = EventRecord.newBuilder()
        .setHlc(entry.stamp)
        .setProcess(process)
        .setVm(vm)
        .setKind(entry.event.kind)
        .setRequestId(entry.event.requestId)
        .setModel(entry.event.model)
        .setWorkspace(entry.event.workspace)
        .setDetail(entry.event.detail)
        .build()

    private companion object {
        const val DEFAULT_LIMIT = 1_000
    }
}
