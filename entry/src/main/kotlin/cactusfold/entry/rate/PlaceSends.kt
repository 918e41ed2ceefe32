package cactusfold.entry.rate

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.upstream.BrittleUpstreams
import cactusfold.entry.upstream.Upstream

/** Keeps account of this process's requests at brittle upstreams. */
internal class PlaceSends(
    private val brittle: BrittleUpstreams,
    private val place: () -> FleetPlace
) {
    fun isBrittle(upstream: Upstream): Boolean = brittle.find(upstream.start) != null

    /** Records a grant; [grant] is zero if the coordinator does not count places. */
    fun granted(upstream: Upstream, grant: Long): Unit = brittle.uses.granted(upstream.start, grant)

    /** Records that the coordinator knows of no place. */
    fun refused(upstream: Upstream): Unit = brittle.uses.refused(upstream.start)

    /** Takes a place while the coordinator grants none; returns false if there is none. */
    fun takeAlone(upstream: Upstream): Boolean {
        val perSecond = brittle.find(upstream.start) ?: return true
        val (members, position) = place()
        return brittle.uses.takeAlone(upstream.start, perSecond, members, position)
    }

    /** Records that the request for which a place was granted is in flight, or is not sent. */
    fun left(start: UpstreamStart, isSent: Boolean): Unit = brittle.uses.permitEnded(start, isSent)

    fun heard(): Unit = brittle.uses.heard()

    fun completed(upstream: Upstream) {
        if (!isBrittle(upstream)) return
        brittle.uses.completed(upstream.start)
        // Its place can be asked for again at once.
        upstream.recordUnlimited()
    }

    fun givenUp(upstream: Upstream) {
        if (isBrittle(upstream)) brittle.uses.givenUp(upstream.start)
    }

    fun turnedAway(upstream: Upstream, request: String?, nowMillis: Long) {
        val perSecond = brittle.find(upstream.start) ?: return
        brittle.uses.turnedAway(upstream.start, request, perSecond)
        val holdMillis = if (brittle.uses.isCounted(upstream.start)) {
            MIN_HOLD_MILLIS
        } else {
            (place().memberCount ?: 1) * (MILLIS_PER_SECOND / perSecond).toLong()
        }
        upstream.recordLimited(holdMillis.coerceIn(MIN_HOLD_MILLIS, MAX_HOLD_MILLIS), nowMillis)
    }

    private companion object {
        /** Longer than it takes until the coordinator and the other members know. */
        const val MIN_HOLD_MILLIS = 250L

        /** A place is free again within this time even where requests take long. */
        const val MAX_HOLD_MILLIS = 2_000L
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
