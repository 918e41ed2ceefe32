package cactusfold.entry.fleet

import cactusfold.protocol.entry.FleetNotice
import com.google.protobuf.ByteString
import java.util.TreeMap

/** News for one member: an encoded notice, and the position in the shared news that it reaches. */
internal class NewsBatch(val content: ByteString, val position: Long, val isFull: Boolean)

/**
 * News that is the same for all members. Each item is encoded once and replaces the earlier item
 * under its key, so a member that falls behind costs no memory: it is sent all items after the
 * position that it has reached.
 */
internal class SharedNews {
    private class Item(
        val key: String,
        val content: ByteString,
        val models: Set<String>,
        val endedAtMillis: Long?
    )

    private val items = TreeMap<Long, Item>()
    private val positions = HashMap<String, Long>()
    private val batches = HashMap<Long, NewsBatch>()

    /** Members before this position lack the end of items that were forgotten. */
    private var forgottenPosition = 0L

    /** Position of the last item. */
    var position = 0L
        private set

    /** Whether the items are the complete state, so that members may drop what is not in them. */
    var isComplete = false
        private set

    /** Number of items. */
    val size: Int get() = items.size

    /** Forgets all items, at the beginning and end of a term of the coordinator. */
    fun clear() {
        items.clear()
        positions.clear()
        batches.clear()
        // Positions go on, since a session may last from one term to the next.
        position++
        forgottenPosition = position
        isComplete = false
    }

    /** Has the complete state sent to all members; the items are complete from now on. */
    fun complete() {
        position++
        forgottenPosition = position
        isComplete = true
        batches.clear()
    }

    /** Adds [news] about [models], which replaces what was known under [key]. */
    fun put(key: String, news: FleetNotice, models: Set<String> = emptySet()): Unit =
        add(Item(key, news.toByteString(), models, endedAtMillis = null))

    /** Adds [news] that what is known under [key] has ended; forgotten after a while. */
    fun end(key: String, news: FleetNotice, nowMillis: Long) {
        forgetEnded(nowMillis)
        add(Item(key, news.toByteString(), emptySet(), nowMillis))
    }

    /** Removes the item under [key], which members need not learn of. */
    fun remove(key: String) {
        positions.remove(key)?.let(items::remove)
        batches.clear()
    }

    private fun add(item: Item) {
        positions.remove(item.key)?.let(items::remove)
        position++
        positions[item.key] = position
        items[position] = item
        batches.clear()
    }

    private fun forgetEnded(nowMillis: Long) {
        val old = items.filterValues { nowMillis - (it.endedAtMillis ?: nowMillis) > KEPT_MILLIS }
        for ((position, item) in old) {
            items.remove(position)
            positions.remove(item.key)
            forgottenPosition = maxOf(forgottenPosition, position)
        }
    }

    /** Whether there is news about one of [models] after [position]. */
    fun concerns(models: Set<String>, position: Long): Boolean = models.isNotEmpty() &&
        items.tailMap(position, false).values.any { item -> item.models.any { it in models } }

    /** Returns the news for a member that has reached [position], zero if it has none. */
    fun after(position: Long): NewsBatch = batches.getOrPut(position) {
        val isFull = isComplete && (position == 0L || position < forgottenPosition)
        val batch = if (isFull) {
            items.values.filter { it.endedAtMillis == null }
        } else {
            items.tailMap(position, false).values
        }
        val content = batch.fold(ByteString.EMPTY) { sum, item -> sum.concat(item.content) }
        NewsBatch(content, this.position, isFull)
    }

    private companion object {
        /** Longer than a member without contact takes to connect again. */
        const val KEPT_MILLIS = 60_000L
    }
}
