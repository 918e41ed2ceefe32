package cactusfold.decisions.lease

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * Durations of a session lease.
 *
 * @property ttlMillis how long a holder may act after it sent its last successful renewal.
 * @property skewMillis additional wait beyond the TTL before a takeover, for clocks that run at
 *   different speeds.
 * @property renewEveryMillis interval between renewals.
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

/**
 * A session row as read from the table. A session is the lease of one process, which holds its
 * shards as long as the session has not expired.
 */
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

/** A session row and when this process first read it in this state, on its monotonic clock. */
public data class ObservedSession(public val row: SessionRow, public val changedAtMillis: Long)

/**
 * What one process knows of its own session, other sessions and shards.
 *
 * @property leaseExpiresAtMillis when the session of this process expires, counted from before the
 *   renewal was sent.
 * @property wanted the shards that should have a holder.
 * @property held the shards held by this process, with their fences.
 * @property watched shards that this process would take if their holder failed. Only the sessions
 *   of their holders have to be read often, so the number of reads grows with the number of shards,
 *   not of nodes.
 * @property taking shards that this process is about to take, with their new fences; the outcome of
 *   the write is pending.
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
    /** The sessions that currently hold the watched shards. */
    public val watchedSessions: Set<String>
        get() = watched.mapNotNullTo(mutableSetOf()) { shards[it]?.session }

    /** Returns whether the session of this process has not expired at [nowMillis]. */
    public fun isLive(nowMillis: Long): Boolean = nowMillis < leaseExpiresAtMillis

    /** Returns the fence of [shard], or null if this process does not hold it at [nowMillis]. */
    public fun fenceOf(shard: String, nowMillis: Long): Long? =
        if (isLive(nowMillis)) held[shard] else null
}

/** An input of [LeaseMachine]. */
public sealed interface LeaseEvent {
    /** The periodic timer fired. */
    public data object Tick : LeaseEvent

    /** The renewal sent at [sentAtMillis] with [counter] took effect. */
    public data class Renewed(public val sentAtMillis: Long, public val counter: Long) : LeaseEvent

    /** The outcome of the renewal is unknown, or the store rejected it temporarily. */
    public data object RenewalFailed : LeaseEvent

    /**
     * The session row was found with [counter]: a renewal whose reply was lost took effect. When it
     * did is unknown, so it does not extend the lease.
     */
    public data class CounterFound(public val counter: Long) : LeaseEvent

    /** The session row belongs to another incarnation, which has replaced this process. */
    public data object Superseded : LeaseEvent

    /** The set of shards that should have a holder changed to [shards]. */
    public data class ShardsWanted(public val shards: Set<String>) : LeaseEvent

    /**
     * All rows were read by a call sent at [sentAtMillis]; they may have changed since then.
     * [endedLocalSessions] names sessions of this VM since its last boot whose process no longer
     * exists. Only those may be treated as ended before their TTL has passed.
     */
    public data class TableRead(
        public val sentAtMillis: Long,
        public val sessions: List<SessionRow>,
        public val shards: List<ShardRow>,
        public val endedLocalSessions: Set<String>
    ) : LeaseEvent

    /**
     * The rows of watched sessions were read by calls sent at [sentAtMillis] or later. A session
     * without a row has been removed.
     */
    public data class WatchedRead(
        public val sentAtMillis: Long,
        public val sessions: Map<String, SessionRow?>,
        public val endedLocalSessions: Set<String>
    ) : LeaseEvent

    /** One shard row was read. */
    public data class ShardRead(public val row: ShardRow) : LeaseEvent

    /** The write that takes [shard] with [fence] took effect. */
    public data class TakeSucceeded(public val shard: String, public val fence: Long) : LeaseEvent

    /** The write that takes [shard] was rejected, or its outcome is unknown. */
    public data class TakeFailed(public val shard: String) : LeaseEvent

    /** The process begins a planned shutdown. */
    public data object Stop : LeaseEvent
}

/** An action that [LeaseMachine] asks its caller to perform. */
public sealed interface LeaseEffect {
    /** Writes the session row with [counter] if it has the previous counter. */
    public data class Renew(public val counter: Long, public val leaving: Boolean) : LeaseEffect

    /** Writes the shard row with [newFence] if it has [expectedFence] (0: if there is no row). */
    public data class Take(
        public val shard: String,
        public val expectedFence: Long,
        public val newFence: Long
    ) : LeaseEffect

    /** Writes the shard row without a holder if it has [fence]. */
    public data class Release(public val shard: String, public val fence: Long) : LeaseEffect

    /** This process holds the shard from now on. */
    public data class Acquired(public val shard: String, public val fence: Long) : LeaseEffect

    /** This process no longer holds the shard; whatever it still does for it has no effect. */
    public data class Lost(public val shard: String, public val fence: Long) : LeaseEffect
}
