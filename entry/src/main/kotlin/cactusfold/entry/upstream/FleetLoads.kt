package cactusfold.entry.upstream

import cactusfold.decisions.routing.OtherUse
import cactusfold.protocol.entry.FleetNotice

/** Requests of the other VMs at each runner, as announced by the coordinator. */
public class FleetLoads {
    private class Announced(val requests: Int, val tokens: Long, val ageMillis: Long)

    private val byRunner = HashMap<String, Announced>()
    private var fence = 0L

    /** Whether the present coordinator announces loads; one of an older release does not. */
    private var isAnnounced = false
    private var confirmedAtMillis = Long.MIN_VALUE / 2

    /**
     * Applies the changed loads in [notice]. The others are confirmed by it, since changes are in
     * the next notice. Requests of this process, as returned by [own], are part of the sums.
     */
    public fun apply(notice: FleetNotice, nowMillis: Long, own: (String) -> UpstreamLoad?) {
        // Notices that this process makes for itself have no fence.
        if (notice.fence == 0L) return
        if (notice.fence != fence) {
            byRunner.clear()
            isAnnounced = false
            fence = notice.fence
        }
        confirmedAtMillis = nowMillis
        for (load in notice.runnerLoadsList) {
            isAnnounced = true
            val counted = own(load.runner)
            byRunner[load.runner] = Announced(
                (load.inFlight - (counted?.reportedInFlight ?: 0)).coerceAtLeast(0),
                (load.tokens - (counted?.reportedTokens ?: 0)).coerceAtLeast(0),
                load.ageMillis
            )
            if (load.inFlight == 0) byRunner.remove(load.runner)
        }
    }

    /** Returns the use of [runner] by other VMs, or null while nothing is known. */
    public fun others(runner: String, nowMillis: Long): OtherUse? {
        if (!isAnnounced) return null
        val announced = byRunner[runner]
        return OtherUse(
            announced?.requests ?: 0,
            announced?.tokens ?: 0,
            nowMillis - confirmedAtMillis + (announced?.ageMillis ?: 0)
        )
    }
}
