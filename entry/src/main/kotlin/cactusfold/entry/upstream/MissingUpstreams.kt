package cactusfold.entry.upstream

import cactusfold.decisions.fleet.RowLapse
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock

/**
 * Upstreams without a row that are kept for a while, since rows that lapsed in an outage of the store
 * are written again when it is back.
 */
internal class MissingUpstreams(private val clock: MonotonicClock, private val events: EventLog) {
    private class Ended(val service: String, val atMillis: Long)

    private val sinceMillis = HashMap<String, Long>()

    /** Upstreams that were not kept, which count as missing as long as a row may return. */
    private val ended = HashMap<String, Ended>()
    private var storeFailedAtMillis = Long.MIN_VALUE / 2
    private var writesLostAtMillis = Long.MIN_VALUE / 2

    /** The upstreams that are kept. */
    val ids: Set<String> get() = sinceMillis.keys

    /** When a row will be given up next; null if none is missing. */
    val nextExpiryMillis: Long? get() = sinceMillis.values.minOrNull()?.plus(ROW_RETURN_MILLIS)

    /** Records that the store does not answer. */
    fun storeFailed() {
        storeFailedAtMillis = clock.nowMillis()
    }

    /** Records that the store has lost writes, so that a missing row says nothing. */
    fun writesLost() {
        writesLostAtMillis = clock.nowMillis()
        storeFailed()
    }

    /** Records that the row of [id] is there. */
    fun returned(id: String) {
        sinceMillis.remove(id)
        ended.remove(id)
    }

    /** Records that [id] is not known any more. */
    fun forget(id: String) {
        sinceMillis.remove(id)
    }

    /** Keeps those of [gone] that may return, of all [registered]. Returns the others. */
    fun add(gone: List<Upstream>, registered: Collection<Upstream>): List<Upstream> {
        val nowMillis = clock.nowMillis()
        if (nowMillis - storeFailedAtMillis >= ROW_RETURN_MILLIS) return gone
        ended.values.removeIf { nowMillis - it.atMillis >= ROW_RETURN_MILLIS }
        val areWritesLost = nowMillis - writesLostAtMillis < ROW_RETURN_MILLIS
        return gone.groupBy { it.entry.service }.flatMap { (service, upstreams) ->
            if (areWritesLost || isLapse(service, upstreams, registered)) {
                upstreams.forEach { keep(it, nowMillis) }
                emptyList()
            } else {
                upstreams.forEach { ended[it.entry.id] = Ended(service, nowMillis) }
                upstreams
            }
        }
    }

    private fun isLapse(
        service: String,
        gone: List<Upstream>,
        registered: Collection<Upstream>
    ): Boolean {
        val known = registered.filter { it.entry.service == service }
        val missing = gone.mapTo(mutableSetOf()) { it.entry.id }
        known.mapNotNullTo(missing) { up -> up.entry.id.takeIf { it in sinceMillis } }
        val others = ended.values.count { it.service == service }
        return RowLapse.isLapse(missing.size + others, known.size + others)
    }

    private fun keep(upstream: Upstream, nowMillis: Long) {
        if (sinceMillis.putIfAbsent(upstream.entry.id, nowMillis) != null) return
        events.write(
            "upstream-missing",
            "upstream" to upstream.entry.id,
            "store_failed_ms" to nowMillis - storeFailedAtMillis
        )
    }

    /** Returns the upstreams whose rows have been missing for too long. */
    fun expired(): Set<String> {
        val nowMillis = clock.nowMillis()
        return sinceMillis.filterValues { nowMillis - it >= ROW_RETURN_MILLIS }.keys
    }

    private companion object {
        /** Rows of live upstreams are back within this time after the store recovers. */
        const val ROW_RETURN_MILLIS = 2_000L
    }
}
