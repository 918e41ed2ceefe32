package cactusfold.decisions.lease

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * Times of a session lease.
 *
 * @property ttlMillis how long a holder may act after it sent its last successful renewal.
 * @property skewMillis what a taker waits beyond the TTL, for clocks that run at different speeds.
 * @property renewEveryMillis the period of renewals.
 */
public data class LeaseSettings(
    public val ttlMillis: Long = 6_000,
    public val skewMillis: Long = 1_000,
    public val renewEveryMillis: Long = 2_000
) {
    init {
        require(renewEveryMillis < ttlMillis) { "renewEveryMillis must be below ttlMillis" }
    }
}

/** A session row as read from the table. */
public data class SessionRow(
    public val session: String,
    public val incarnation: Long,
    public val counter: Long,
    public val leaving: Boolean
)

/** A shard row as read from the table. [session] is null when the shard was released. */
public data class ShardRow(
    public val shard: String,
    public val fence: Long,
    public val session: String?,
    public val incarnation: Long
)

/** A session as this process has seen it, on its own monotonic clock. */
public data class ObservedSession(public val row: SessionRow, public val changedAtMillis: Long)

/**
 * All that one process knows of sessions and shards.
 *
 * @property leaseExpiresAtMillis end of the own lease, counted from before the renewal was sent.
 * @property held the shards held, with their fences.
 * @property watched shards of others that this process is next to take. Only their holders' sessions
 *   have to be read often, so reads grow with shards, not with nodes.
 * @property taking shards for which a take is on its way.
 */
public data class LeaseState(
    public val self: String,
    public val incarnation: Long,
    public val counter: Long = 0,
    public val leaseExpiresAtMillis: Long = Long.MIN_VALUE,
    public val renewalSentAtMillis: Long = Long.MIN_VALUE,
    public val renewalInFlight: Boolean = false,
    public val sessions: PersistentMap<String, ObservedSession> = persistentMapOf(),
    public val shards: PersistentMap<String, ShardRow> = persistentMapOf(),
    public val wanted: Set<String> = emptySet(),
    public val held: PersistentMap<String, Long> = persistentMapOf(),
    public val taking: PersistentMap<String, Long> = persistentMapOf(),
    public val watched: PersistentSet<String> = persistentSetOf(),
    public val stopping: Boolean = false
) {
    /** The sessions that hold the watched shards now. */
    public val watchedSessions: Set<String>
        get() = watched.mapNotNullTo(mutableSetOf()) { shards[it]?.session }

    /** Whether the own lease covers [nowMillis]. */
    public fun isLive(nowMillis: Long): Boolean = nowMillis < leaseExpiresAtMillis

    /** Returns the fence under which [shard] may be acted on at [nowMillis], or null. */
    public fun fenceOf(shard: String, nowMillis: Long): Long? =
        if (isLive(nowMillis)) held[shard] else null
}

/** What happens to a lease. */
public sealed interface LeaseEvent {
    /** Time has passed. */
    public data object Tick : LeaseEvent

    /** The renewal sent at [sentAtMillis] with [counter] took effect. */
    public data class Renewed(public val sentAtMillis: Long, public val counter: Long) : LeaseEvent

    /** The renewal's outcome is not known, or the store refused it for now. */
    public data object RenewalFailed : LeaseEvent

    /**
     * The session row was found at [counter]: a renewal whose reply was lost took effect, at a time
     * that nobody knows. It does not extend the lease.
     */
    public data class CounterFound(public val counter: Long) : LeaseEvent

    /** The session row belongs to another incarnation: this process has been replaced. */
    public data object Superseded : LeaseEvent

    /** The shards that should have a holder changed. */
    public data class ShardsWanted(public val shards: Set<String>) : LeaseEvent

    /**
     * The table was read by a call sent at [sentAtMillis]: what it shows was true then, and may be
     * old by now. [endedLocalSessions] names sessions of this VM and this boot whose process was
     * seen not to exist any more; only those may be judged gone before their TTL.
     */
    public data class TableRead(
        public val sentAtMillis: Long,
        public val sessions: List<SessionRow>,
        public val shards: List<ShardRow>,
        public val endedLocalSessions: Set<String>
    ) : LeaseEvent

    /**
     * The rows of watched sessions were read by calls sent from [sentAtMillis] on; a session without
     * a row was removed.
     */
    public data class WatchedRead(
        public val sentAtMillis: Long,
        public val sessions: Map<String, SessionRow?>,
        public val endedLocalSessions: Set<String>
    ) : LeaseEvent

    /** One shard row was read. */
    public data class ShardRead(public val row: ShardRow) : LeaseEvent

    /** A take of [shard] took effect with [fence]. */
    public data class TakeSucceeded(public val shard: String, public val fence: Long) : LeaseEvent

    /** A take of [shard] was refused, or its outcome is not known. */
    public data class TakeFailed(public val shard: String) : LeaseEvent

    /** The process begins a planned stop. */
    public data object Stop : LeaseEvent
}

/** What a lease asks its surroundings to do. */
public sealed interface LeaseEffect {
    /** Write the session row with [counter], on condition of the previous counter. */
    public data class Renew(public val counter: Long, public val leaving: Boolean) : LeaseEffect

    /** Write the shard row with [newFence], on condition of [expectedFence] (0: no row). */
    public data class Take(
        public val shard: String,
        public val expectedFence: Long,
        public val newFence: Long
    ) : LeaseEffect

    /** Write the shard row without a holder, on condition of [fence]. */
    public data class Release(public val shard: String, public val fence: Long) : LeaseEffect

    /** The shard is held from now on. */
    public data class Acquired(public val shard: String, public val fence: Long) : LeaseEffect

    /** The shard is not held any more. Nothing done for it after this counts. */
    public data class Lost(public val shard: String, public val fence: Long) : LeaseEffect
}
