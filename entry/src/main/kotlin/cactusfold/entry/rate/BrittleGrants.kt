package cactusfold.entry.rate

import cactusfold.decisions.rate.BrittlePlaces
import cactusfold.decisions.rate.PlaceUse
import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.upstream.BrittleUpstreams
import cactusfold.entry.upstream.BrittleUpstreams.Companion.start
import cactusfold.protocol.entry.BrittleUpstream

/** Whether a place at an upstream can be granted. */
internal enum class PlaceState {
    /** The upstream is not brittle, so that its places are not granted. */
    UNBOUNDED,
    FREE,
    FULL,

    /** A new coordinator does not know yet what the members use. */
    UNKNOWN
}

/** Grants the places of brittle upstreams to all VMs, at the coordinator. */
public class BrittleGrants(private val brittle: BrittleUpstreams) {
    private val places = HashMap<UpstreamStart, BrittlePlaces>()
    private var settledAtMillis = 0L
    private var lastGrant = 0L
    private var activeAtMillis = 0L
    private var retainedAtMillis = 0L

    /** Returns the number of registered members; null if it is not known. */
    public var memberCount: () -> Int? = { null }

    /** Forgets all when this process becomes the coordinator with [fence]. */
    public fun started(fence: Long) {
        places.clear()
        lastGrant = fence shl FENCE_SHIFT
        activeAtMillis = brittle.clock.nowMillis()
        settledAtMillis = activeAtMillis + BrittlePlaces.SETTLE_MILLIS
    }

    /** Notes a report of any member; what they use is unknown after a suspension. */
    public fun active() {
        val nowMillis = brittle.clock.nowMillis()
        val gapMillis = nowMillis - activeAtMillis
        activeAtMillis = nowMillis
        if (gapMillis < MIN_SUSPENSION_MILLIS) return
        places.replaceAll { _, of -> of.unsettled() }
        settledAtMillis = nowMillis + BrittlePlaces.SETTLE_MILLIS
        brittle.events.write("brittle-places-unknown", "suspended_ms" to gapMillis)
    }

    /** Records what the member [vm] knows and uses of an upstream. */
    public fun heard(message: BrittleUpstream, vm: String, boot: String) {
        brittle.heard(message, vm)
        retain()
        val start = message.start
        val perSecond = brittle.find(start) ?: return
        if (!message.hasUse()) return
        val nowMillis = brittle.clock.nowMillis()
        val slots = message.use.slots.coerceAtLeast(1)
        val current = places[start]?.at(nowMillis)?.stated(slots, perSecond)
            ?: BrittlePlaces.start(slots, perSecond, nowMillis >= settledAtMillis, nowMillis)
        val use = message.use.let {
            PlaceUse(boot, it.sequence, it.held, it.lastGrant, it.turnedAway)
        }
        val next = current.heard(vm, use, nowMillis)
        places[start] = next
        if (next.ceiling < current.ceiling) {
            brittle.events.write(
                "brittle-held-back",
                "upstream" to start.id,
                "member" to vm,
                "count" to next.count,
                "places" to next.ceiling,
                "slots" to slots
            )
        }
    }

    /** Returns whether a place at [start] can be granted to [vm] now. */
    internal fun state(start: UpstreamStart, vm: String): PlaceState {
        if (brittle.find(start) == null) return PlaceState.UNBOUNDED
        val nowMillis = brittle.clock.nowMillis()
        val known = places[start]?.at(nowMillis) ?: return PlaceState.UNKNOWN
        val heard = known.members.size
        val members = memberCount()
        val isSettled = nowMillis >= settledAtMillis || members != null && heard >= members
        val current = if (isSettled) known.settled(members ?: heard) else known
        places[start] = current
        return when (current.hasPlace(vm)) {
            true -> PlaceState.FREE
            false -> PlaceState.FULL
            null -> PlaceState.UNKNOWN
        }
    }

    /** Grants a place at [start] to [vm]; returns the number of the grant, or zero. */
    internal fun grant(start: UpstreamStart, vm: String): Long {
        val current = places[start] ?: return 0
        lastGrant++
        places[start] = current.granted(vm, lastGrant, brittle.clock.nowMillis())
        return lastGrant
    }

    /** Returns the time after which one of [starts] may have a place. */
    internal fun retryAfterMillis(starts: List<UpstreamStart>): Long? =
        starts.mapNotNull { places[it]?.retryAfterMillis() }.minOrNull()

    private fun retain() {
        val nowMillis = brittle.clock.nowMillis()
        if (nowMillis - retainedAtMillis < RETAIN_INTERVAL_MILLIS) return
        retainedAtMillis = nowMillis
        places.keys.removeIf { brittle.find(it) == null || brittle.serviceOf(it) == null }
    }

    private companion object {
        /** Grants of a later coordinator have higher numbers. */
        const val FENCE_SHIFT = 32
        const val RETAIN_INTERVAL_MILLIS = 5_000L

        /** More than twice the interval between reports, of which this process makes its own. */
        const val MIN_SUSPENSION_MILLIS = 1_000L
    }
}
