package cactusfold.entry.passing

import cactusfold.settings.schema.HostPort

/** Another member of the fleet that takes requests at [address]. */
public class Peer(public val vm: String, public val zone: String, public val address: HostPort) {
    /** Number of requests that this process has passed on to it and that have not ended. */
    public var inFlight: Int = 0

    /** Until when no request is passed on to it, by the clock of this process. */
    public var leftOutUntilMillis: Long = 0
        private set

    private val cutUntilMillis = HashMap<String, Long>()

    /** Records that it does not reach [service], which is believed until [atMillis]. */
    public fun recordCut(service: String, atMillis: Long) {
        cutUntilMillis[service] = atMillis
    }

    /** Whether it lately did not reach [service]. */
    public fun isCutFrom(service: String, nowMillis: Long): Boolean =
        nowMillis < (cutUntilMillis[service] ?: 0)

    /** Passes nothing on to it until [atMillis]. */
    public fun leaveOutUntil(atMillis: Long) {
        leftOutUntilMillis = maxOf(leftOutUntilMillis, atMillis)
    }
}
