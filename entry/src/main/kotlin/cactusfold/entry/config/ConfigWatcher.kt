package cactusfold.entry.config

import cactusfold.entry.places.ZoneEvacuations
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.ConfigDecoder
import cactusfold.ports.serving.Decoded
import cactusfold.ports.serving.ServingConfig
import cactusfold.ports.table.ChangeFeed
import cactusfold.ports.table.FeedResult
import cactusfold.protocol.entry.ConfigConfirmation
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Follows the operator's configuration in the store. An older or unreadable version never replaces
 * the version in force.
 *
 * The coordinator confirms to the members which version is the newest, so that they read the store
 * only for new versions, or when the last confirmation is getting old.
 *
 * @param isCoordinator whether this process confirms the version for others.
 * @param isMember whether this process is in contact with a coordinator that does.
 * @param evacuations follows the operator's other rows in the same table.
 * @param evacuateMillis bound on how long an evacuated zone may still get requests.
 * @param onContactChanged called when reads of the store by this process begin to succeed or to fail.
 */
public class ConfigWatcher(
    private val feed: ChangeFeed,
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val keyWithdrawalMillis: Long,
    private val isCoordinator: () -> Boolean,
    private val isMember: () -> Boolean,
    private val evacuations: ZoneEvacuations? = null,
    evacuateMillis: Long = keyWithdrawalMillis,
    private val onContactChanged: (isInContact: Boolean) -> Unit = {},
    private val onChange: (ServingConfig) -> Unit
) {
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val boundMillis = minOf(keyWithdrawalMillis, evacuateMillis)
    private val maxRelayedAgeMillis = (boundMillis * MAX_RELAYED_AGE_SHARE).toLong()
    private var announcedVersion = Long.MIN_VALUE

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

    /** Whether the version was confirmed so recently that the store need not be read for it. */
    public fun isConfirmedRecently(nowMillis: Long): Boolean =
        (ageMillis(nowMillis) ?: Long.MAX_VALUE) < maxRelayedAgeMillis

    /** Until when [isConfirmedRecently] holds without another confirmation. */
    public val confirmedUntilMillis: Long
        get() = (confirmedAtMillis ?: (Long.MIN_VALUE / 2)) + maxRelayedAgeMillis

    /** Version and age of the configuration in force, to be announced to other processes. */
    public fun confirmation(nowMillis: Long): ConfigConfirmation? {
        val version = current?.version ?: return null
        val ageMillis = ageMillis(nowMillis) ?: return null
        val confirmation =
            ConfigConfirmation.newBuilder().setVersion(version).setAgeMillis(ageMillis)
        evacuations?.message()?.let(confirmation::setEvacuations)
        return confirmation.build()
    }

    /**
     * Records that another process knew [version] to be the newest at [atMillis] or later, on this
     * process's clock.
     */
    public fun confirmed(version: Long, atMillis: Long) {
        val inForce = current?.version ?: return
        if (version == inForce) {
            confirmedAtMillis = maxOf(confirmedAtMillis ?: atMillis, atMillis)
        } else if (version > maxOf(inForce, announcedVersion)) {
            announcedVersion = version
            wake.trySend(Unit)
        }
    }

    /** Has the store read if this process has lost its coordinator or has become one. */
    public fun roleChanged() {
        wake.trySend(Unit)
    }

    /** Follows the configuration until cancelled. */
    public suspend fun run() {
        var position: Long? = null
        var era: Long? = null
        var failures = 0
        while (true) {
            if (current != null && failures == 0 && awaitReadDue()) position = null
            val sentAtMillis = clock.nowMillis()
            val result = position?.let { feed.changes(ConfigDecoder.TABLE, it, pollMillis()) }
                ?: feed.snapshot(ConfigDecoder.TABLE)
            when (result) {
                is FeedResult.Changes -> if (position != null && result.era != era) {
                    events.write("store-era", "for" to "configuration", "era" to result.era)
                    position = null
                } else {
                    era = result.era
                    if (failures > 0) events.write("store-regained", "for" to "configuration")
                    if (failures > 0 || current == null) onContactChanged(true)
                    failures = 0
                    evacuations?.read(result, isSnapshot = position == null)
                    position = result.position
                    result.rows.filter { it.sort == ConfigDecoder.KEY }
                        .forEach { row -> row.value?.let { apply(it) } }
                    // During a long poll a newer confirmation may have arrived.
                    if (current != null) {
                        confirmedAtMillis = maxOf(confirmedAtMillis ?: sentAtMillis, sentAtMillis)
                    }
                    if (current == null) delay(MISSING_CONFIG_DELAY_MILLIS)
                }
                FeedResult.HistoryGone -> position = null
                is FeedResult.Unavailable -> {
                    if (failures == 0) {
                        onContactChanged(false)
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

    /**
     * Suspends until the store has to be read by this process itself. Returns whether another
     * process confirmed the version meanwhile; the position in the feed may then be too old.
     */
    private suspend fun awaitReadDue(): Boolean {
        var hasWaited = false
        while (isMember() && isConfirmedRecently(clock.nowMillis())) {
            hasWaited = true
            val leftMillis = confirmedUntilMillis - clock.nowMillis()
            withTimeoutOrNull(leftMillis) { wake.receive() }
            if (announcedVersion > (current?.version ?: announcedVersion)) return true
        }
        return hasWaited
    }

    /**
     * Returns how long the store may wait for a change. The coordinator's confirmations also have
     * to reach the members; otherwise two polls fit into the key withdrawal bound, with a margin.
     */
    private fun pollMillis(): Long =
        (boundMillis * if (isCoordinator()) COORDINATOR_POLL_SHARE else POLL_SHARE).toLong()

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
        const val COORDINATOR_POLL_SHARE = 0.05

        /**
         * Age of the last confirmation, as a share of the bound, at which a member reads the store.
         * A coordinator may have lost the store, while changes come in force elsewhere.
         */
        const val MAX_RELAYED_AGE_SHARE = 0.3
        const val MISSING_CONFIG_DELAY_MILLIS = 100L
        val RETRY_DELAYS_MILLIS = listOf(50L, 100L, 200L, 400L)
    }
}
