package cactusfold.entry.upstream

import cactusfold.decisions.rate.UpstreamStart

/**
 * The starts of upstreams that are known to leave: they said so, or registered as draining. That is
 * known longer than their registrations, which may lapse and return, or be read later.
 */
internal class LeavingStarts {
    private val noticedAtMillis = LinkedHashMap<UpstreamStart, Long>()

    /** The starts that are known. */
    val all: Set<UpstreamStart> get() = noticedAtMillis.keys

    /** Adds [start]; ignored if its time is not known, since its id may come back. */
    fun add(start: UpstreamStart, nowMillis: Long) {
        if (start.startedAtEpochMillis == null) return
        noticedAtMillis.values.removeIf { nowMillis - it > KEPT_MILLIS }
        // Processes that tell each other what they know would keep it forever if that renewed it.
        noticedAtMillis.putIfAbsent(start, nowMillis)
    }

    operator fun contains(start: UpstreamStart): Boolean = start in noticedAtMillis

    private companion object {
        /** Several times as long as an upstream takes to leave. */
        const val KEPT_MILLIS = 600_000L
    }
}
