package cactusfold.entry.config

import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.ConfigDecoder
import cactusfold.ports.serving.Decoded
import cactusfold.ports.serving.ServingConfig
import cactusfold.ports.table.ChangeFeed
import cactusfold.ports.table.FeedResult
import kotlinx.coroutines.delay

/**
 * Follows the operator's configuration in the store. An older or unreadable version never replaces
 * the version in force.
 */
public class ConfigWatcher(
    private val feed: ChangeFeed,
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val keyWithdrawalMillis: Long,
    private val onChange: (ServingConfig) -> Unit
) {
    /** The configuration in force; null until one has been read. */
    public var current: ServingConfig? = null
        private set

    /** Send time of the last read that confirmed [current] as the newest version. */
    private var confirmedAtMillis: Long? = null

    /** Returns whether every key withdrawal older than the promised bound is known here. */
    public fun isFresh(nowMillis: Long): Boolean {
        val confirmed = confirmedAtMillis ?: return false
        return nowMillis - confirmed < keyWithdrawalMillis - REQUEST_MARGIN_MILLIS
    }

    /** Returns the time since [current] was confirmed as the newest; null if it never was. */
    public fun ageMillis(nowMillis: Long): Long? = confirmedAtMillis?.let { nowMillis - it }

    /** Follows the configuration until cancelled. */
    public suspend fun run() {
        var position: Long? = null
        var failures = 0
        while (true) {
            val sentAtMillis = clock.nowMillis()
            val result = position?.let { feed.changes(ConfigDecoder.TABLE, it, pollMillis()) }
                ?: feed.snapshot(ConfigDecoder.TABLE)
            when (result) {
                is FeedResult.Changes -> {
                    if (failures > 0) events.write("store-regained", "for" to "configuration")
                    failures = 0
                    position = result.position
                    result.rows.filter { it.sort == ConfigDecoder.KEY }
                        .forEach { row -> row.value?.let { apply(it) } }
                    if (current != null) confirmedAtMillis = sentAtMillis
                    if (current == null) delay(MISSING_CONFIG_DELAY_MILLIS)
                }
                FeedResult.HistoryGone -> position = null
                is FeedResult.Unavailable -> {
                    if (failures == 0) {
                        events.write(
                            "store-lost",
                            "for" to "configuration",
                            "reason" to result.reason,
                            "age_ms" to ageMillis(clock.nowMillis())
                        )
                    }
                    delay(RETRY_DELAYS_MILLIS.getOrElse(failures++) { RETRY_DELAYS_MILLIS.last() })
                }
            }
        }
    }

    /** Returns the poll duration: two polls fit into the key withdrawal bound, with a margin. */
    private fun pollMillis(): Long = (keyWithdrawalMillis * POLL_SHARE).toLong()

    private fun apply(value: ByteArray) {
        when (val decoded = ConfigDecoder.decode(value)) {
            is Decoded.Invalid -> events.write("config-unreadable", "reason" to decoded.reason)
            is Decoded.Valid -> {
                val before = current?.version ?: Long.MIN_VALUE
                if (decoded.value.version <= before) return
                current = decoded.value
                events.write(
                    "config-in-force",
                    "version" to decoded.value.version,
                    "routes" to decoded.value.routes.size
                )
                onChange(decoded.value)
            }
        }
    }

    private companion object {
        /** Subtracted from the bound for the transfer of a request to its upstream. */
        const val REQUEST_MARGIN_MILLIS = 150L

        /** Duration of one poll as a share of the key withdrawal bound. */
        const val POLL_SHARE = 0.36
        const val MISSING_CONFIG_DELAY_MILLIS = 100L
        val RETRY_DELAYS_MILLIS = listOf(50L, 100L, 200L, 400L)
    }
}
