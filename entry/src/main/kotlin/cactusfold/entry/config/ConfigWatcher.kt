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
 * Follows the operator's configuration. What is in force never goes back to an older version, and an
 * unreadable version leaves the one before in force.
 */
public class ConfigWatcher(
    private val feed: ChangeFeed,
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val keyWithdrawalMillis: Long,
    private val onChange: (ServingConfig) -> Unit
) {
    /** The version in force; null before the first was read. */
    public var current: ServingConfig? = null
        private set

    /** When the call was sent that showed [current] to be the newest. */
    private var confirmedAtMillis: Long? = null

    /** Whether keys may be relied on: a withdrawal older than the bound would be known. */
    public fun isFresh(nowMillis: Long): Boolean {
        val confirmed = confirmedAtMillis ?: return false
        return nowMillis - confirmed < keyWithdrawalMillis - REQUEST_MARGIN_MILLIS
    }

    /** Milliseconds since [current] was known to be the newest; null before. */
    public fun ageMillis(nowMillis: Long): Long? = confirmedAtMillis?.let { nowMillis - it }

    /** Follows the configuration until cancelled. */
    public suspend fun run() {
        var position: Long? = null
        var failedReads = 0
        while (true) {
            val sentAtMillis = clock.nowMillis()
            val result = position?.let { feed.changes(ConfigDecoder.TABLE, it, pollMillis()) }
                ?: feed.snapshot(ConfigDecoder.TABLE)
            when (result) {
                is FeedResult.Changes -> {
                    if (failedReads > 0) events.write("store-regained", "for" to "configuration")
                    failedReads = 0
                    position = result.position
                    result.rows.filter { it.sort == ConfigDecoder.KEY }
                        .forEach { row -> row.value?.let { apply(it) } }
                    if (current != null) confirmedAtMillis = sentAtMillis
                    if (current == null) delay(MISSING_CONFIG_DELAY_MILLIS)
                }
                FeedResult.HistoryGone -> position = null
                is FeedResult.Unavailable -> {
                    if (failedReads == 0) {
                        events.write(
                            "store-lost",
                            "for" to "configuration",
                            "reason" to result.reason,
                            "age_ms" to ageMillis(clock.nowMillis())
                        )
                    }
                    delay(
                        RETRY_DELAYS_MILLIS.getOrElse(failedReads++) {
                            RETRY_DELAYS_MILLIS.last()
                        }
                    )
                }
            }
        }
    }

    /** Two polls in a row have to fit into the bound on withdrawn keys, with time to spare. */
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
        /** Kept back from the bound, for the way of a request to its upstream, in milliseconds. */
        const val REQUEST_MARGIN_MILLIS = 150L

        /** Share of the bound that one poll waits. */
        const val POLL_SHARE = 0.36
        const val MISSING_CONFIG_DELAY_MILLIS = 100L
        val RETRY_DELAYS_MILLIS = listOf(50L, 100L, 200L, 400L)
    }
}
