package cactusfold.entry.upstream

import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock

/** Where the state of an upstream's row is known from. */
internal enum class RowSource(val label: String) {
    /** A read by this process. */
    STORE("store"),

    /** A read that the coordinator has passed on. */
    COORDINATOR("coordinator"),

    /** The row was missing for too long. */
    EXPIRY("expiry")
}

/** Logs from when to when the rows of upstreams are not confirmed by anybody. */
internal class RowConfirmations(private val clock: MonotonicClock, private val events: EventLog) {
    private var confirmedAtMillis = clock.nowMillis()
    private var isLost = false

    /** Age of the last read that showed all rows. */
    val ageMillis: Long get() = clock.nowMillis() - confirmedAtMillis

    /** Records that [source] has shown all rows, by a read that began at [beganAtMillis]. */
    fun confirmed(beganAtMillis: Long, source: RowSource) {
        if (isLost) {
            events.write("rows-confirmed", "source" to source.label, "after_ms" to ageMillis)
        }
        isLost = false
        confirmedAtMillis = maxOf(confirmedAtMillis, beganAtMillis)
    }

    /** Records that a read by this process has failed. */
    fun readFailed() {
        if (isLost || ageMillis < LOST_MILLIS) return
        isLost = true
        events.write("rows-unconfirmed", "age_ms" to ageMillis)
    }

    private companion object {
        /** The least bound after which a leaving upstream gets nothing more. */
        const val LOST_MILLIS = 2_000L
    }
}
