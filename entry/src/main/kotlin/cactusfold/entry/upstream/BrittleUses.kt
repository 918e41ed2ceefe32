package cactusfold.entry.upstream

import cactusfold.decisions.rate.PlacesAlone
import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.entry.PlaceUse
import io.micrometer.core.instrument.MeterRegistry

/** The places at brittle upstreams that this process uses, as it states them to the coordinator. */
public class BrittleUses(
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val meters: MeterRegistry
) {
    private class Use(var isCounted: Boolean = false) {
        var unsentPermits = 0
        var lastGrant = 0L
        var turnedAway = 0L
        var alone = PlacesAlone()

        /** Until when requests that were given up may still occupy places. */
        val lingering = ArrayDeque<Long>()
    }

    private val byStart = HashMap<UpstreamStart, Use>()
    private var sequence = 0L

    /** Returns the number of requests that this process has in flight at a start. */
    public var inFlightOf: (UpstreamStart) -> Int = { 0 }

    /** Returns the places of a start. */
    public var slotsOf: (UpstreamStart) -> Int = { 1 }

    /** Called with a start of which the coordinator has to know at once what is used. */
    public var onChange: (UpstreamStart) -> Unit = {}

    /** The starts whose places this process uses. */
    public val held: List<UpstreamStart> get() = byStart.keys.filter { heldAt(it) > 0 }

    /** Whether the coordinator counts the places of [start]; one of an earlier build does not. */
    public fun isCounted(start: UpstreamStart): Boolean = byStart[start]?.isCounted == true

    /** Returns what this process uses of [start]; each statement replaces those before it. */
    public fun message(start: UpstreamStart): PlaceUse {
        val use = useOf(start)
        return PlaceUse.newBuilder().setSlots(slotsOf(start)).setHeld(heldAt(start))
            .setLastGrant(use.lastGrant).setTurnedAway(use.turnedAway)
            .setSequence(++sequence).build()
    }

    /** Records that the coordinator has granted a place; [grant] is zero if it counts none. */
    public fun granted(start: UpstreamStart, grant: Long) {
        val use = useOf(start)
        use.isCounted = grant > 0
        use.lastGrant = maxOf(use.lastGrant, grant)
        use.unsentPermits++
        use.alone = use.alone.answered()
    }

    /** Records that the coordinator has no place to grant. */
    public fun refused(start: UpstreamStart) {
        val use = useOf(start)
        use.isCounted = true
        use.alone = use.alone.answered()
    }

    /**
     * Takes a place at [start] without the coordinator; returns false if it may not be used.
     *
     * @param turnAwaysPerSecond requests that the upstream can turn away.
     */
    public fun takeAlone(
        start: UpstreamStart,
        turnAwaysPerSecond: Double,
        members: Int?,
        position: Int?
    ): Boolean {
        val use = useOf(start)
        val nowMillis = clock.nowMillis()
        use.alone = use.alone.unanswered(nowMillis)
        val taken =
            use.alone.take(turnAwaysPerSecond, members, position, nowMillis) ?: return false
        use.alone = taken
        use.unsentPermits++
        return true
    }

    /** Records that the request of a permit counts as in flight from now on, if it [isSent]. */
    public fun permitEnded(start: UpstreamStart, isSent: Boolean) {
        val use = byStart[start] ?: return
        use.unsentPermits = (use.unsentPermits - 1).coerceAtLeast(0)
        if (!isSent) onChange(start)
    }

    /** Records that a request at [start] was completed, so that its place is free. */
    public fun completed(start: UpstreamStart) {
        val use = useOf(start)
        use.alone = use.alone.freed(clock.nowMillis())
        onChange(start)
    }

    /** Records that a request was given up on which [start] may still be at work. */
    public fun givenUp(start: UpstreamStart) {
        val use = useOf(start)
        if (use.lingering.size < MAX_LINGERING) {
            use.lingering += clock.nowMillis() + LINGER_MILLIS
        }
    }

    /** Records a sign of the coordinator, which may have granted the places that are free. */
    public fun heard() {
        byStart.values.forEach { it.alone = it.alone.heard() }
    }

    /** Records that [start] has turned [request] away. */
    public fun turnedAway(start: UpstreamStart, request: String?, turnAwaysPerSecond: Double) {
        val use = useOf(start)
        use.turnedAway++
        meters.counter("cactusfold.upstreams.brittle.turned.away").increment()
        events.write(
            "turned-away",
            "request" to request,
            "upstream" to start.id,
            "turn_aways_per_s" to turnAwaysPerSecond,
            "held" to heldAt(start),
            "slots" to slotsOf(start),
            "counted" to use.isCounted
        )
        onChange(start)
    }

    /** Forgets the starts that are not of interest any more. */
    public fun retain(isOfInterest: (UpstreamStart) -> Boolean) {
        byStart.keys.removeIf { !isOfInterest(it) }
    }

    private fun useOf(start: UpstreamStart): Use = byStart.getOrPut(start) { Use() }

    private fun heldAt(start: UpstreamStart): Int {
        val use = byStart[start]
        val nowMillis = clock.nowMillis()
        use?.lingering?.removeIf { it <= nowMillis }
        return inFlightOf(start) + (use?.let { it.unsentPermits + it.lingering.size } ?: 0)
    }

    private companion object {
        /** Upstreams drop requests soon after their connection is closed. */
        const val LINGER_MILLIS = 1_000L

        /** More than the places of an upstream. */
        const val MAX_LINGERING = 256
    }
}
