package cactusfold.entry.queueing

/**
 * How long requests of each route take once they are sent to an upstream, as moving averages of
 * what this process has observed.
 */
public class ServiceTimes {
    private class Averages(var firstMillis: Double, var totalMillis: Double)

    private val byRoute = HashMap<String, Averages>()

    /** Records the time from the send to the first event, or to a complete answer. */
    public fun recordFirst(route: String, millis: Long) {
        val known = byRoute.getOrPut(route) { Averages(millis.toDouble(), millis.toDouble()) }
        known.firstMillis += (millis - known.firstMillis) * WEIGHT
    }

    /** Records the time from the send to the end of a complete answer. */
    public fun recordTotal(route: String, millis: Long) {
        val known = byRoute.getOrPut(route) { Averages(millis.toDouble(), millis.toDouble()) }
        known.totalMillis += (millis - known.totalMillis) * WEIGHT
    }

    /** Returns the expected time to the first event; zero if nothing was observed. */
    public fun firstMillis(route: String): Long = byRoute[route]?.firstMillis?.toLong() ?: 0

    /** Returns the expected time to the end of the answer; zero if nothing was observed. */
    public fun totalMillis(route: String): Long = byRoute[route]?.totalMillis?.toLong() ?: 0

    private companion object {
        /** Weight of a new observation: an answer out of the ordinary does not change much. */
        const val WEIGHT = 0.1
    }
}
