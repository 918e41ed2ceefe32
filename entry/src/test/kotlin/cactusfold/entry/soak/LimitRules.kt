package cactusfold.entry.soak

import cactusfold.platform.standin.Arrival
import cactusfold.platform.standin.RunnerStandin
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/** Has [runners] state limits, and checks the requests that they got. */
class LimitRules(private val runners: Map<String, RunnerStandin>) {
    private class Stated(val runner: String, val fromNanos: Long, val perSecond: Double?)

    private val stated = ConcurrentLinkedQueue<Stated>()

    /** Has a runner state its limit from now on. */
    fun apply(change: LimitChange) {
        runners.getValue(change.runner).statedLimit = change.limit
        // Of several limits the lowest applies, and no limit is known from one that is unreadable.
        val perSecond = change.limit?.split(',')?.map { it.trim().toDoubleOrNull() }
            ?.takeUnless { null in it }?.minOf { it!! }
        stated += Stated(change.runner, System.nanoTime(), perSecond)
    }

    /** Returns each runner that got more than the users tolerate in some window. */
    fun violations(): List<Violation> = runners.mapNotNull { (id, runner) ->
        val limits = stated.filter { it.runner == id }
        val arrivals = runner.arrivals.toList()
        arrivals.indices.firstNotNullOfOrNull { first -> violation(id, limits, arrivals, first) }
    }

    private fun violation(
        id: String,
        limits: List<Stated>,
        arrivals: List<Arrival>,
        first: Int
    ): Violation? {
        val fromNanos = arrivals[first].atNanos
        val allowed = allowedFrom(limits, fromNanos) ?: return null
        val got = arrivals.drop(first).takeWhile { it.atNanos - fromNanos < WINDOW_NANOS }
        if (got.size <= allowed) return null
        val paths = got.groupingBy { it.path }.eachCount()
        val details = "$id got ${got.size} requests in 4 s, allowed $allowed: $paths"
        return Violation(Rule.WITHIN_LIMIT, "over the limit", details)
    }

    /**
     * Returns the requests allowed in the window from [fromNanos], by the highest limit stated in
     * it and shortly before; null if there was none for some of that time.
     */
    private fun allowedFrom(limits: List<Stated>, fromNanos: Long): Double? {
        val knownFromNanos = fromNanos - CONTACT_NANOS
        val before = limits.lastOrNull { it.fromNanos <= knownFromNanos } ?: return null
        val during = limits.filter { it.fromNanos in knownFromNanos..fromNanos + WINDOW_NANOS }
        val highest = (during + before).map { it.perSecond ?: return null }.max()
        return TOLERANCE * TimeUnit.NANOSECONDS.toSeconds(WINDOW_NANOS) * highest + SLACK
    }

    private companion object {
        /** Time after which the users hold the fleet to a limit that one VM was told of. */
        val CONTACT_NANOS = TimeUnit.SECONDS.toNanos(3)
        val WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4)
        const val TOLERANCE = 1.5
        const val SLACK = 5
    }
}
