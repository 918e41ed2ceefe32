package cactusfold.decisions.lease

import cactusfold.decisions.Rendezvous
import cactusfold.decisions.Step
import cactusfold.decisions.invariant
import cactusfold.decisions.unchanged
import cactusfold.decisions.with
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet

/**
 * Decides when to renew the session of this process, which shards to take over and when a shard is
 * lost.
 *
 * A holder counts its lease from before it sent the renewal. A process that takes over counts TTL
 * and skew on its own clock, from when it last saw the holder's counter change until it sent the
 * read that shows the counter unchanged. Wall clocks of different VMs are never compared.
 * A lost lease of a shard is never resumed: the shard is taken again with a higher fence.
 */
public class LeaseMachine(private val settings: LeaseSettings) {

    /** Returns the step for [event] at [nowMillis] on the monotonic clock. */
    public fun step(
        state: LeaseState,
        event: LeaseEvent,
        nowMillis: Long
    ): Step<LeaseState, LeaseEffect> {
        val current = dropExpiredShards(state, nowMillis)
        val next = handle(current.state, event, nowMillis)
        return Step(next.state, current.effects + next.effects)
    }

    private fun handle(
        state: LeaseState,
        event: LeaseEvent,
        nowMillis: Long
    ): Step<LeaseState, LeaseEffect> = when (event) {
        LeaseEvent.Tick -> renewIfDue(state, nowMillis)
        is LeaseEvent.Renewed -> renewed(state, event)
        LeaseEvent.RenewalFailed -> state.copy(renewalInFlight = false).unchanged()
        is LeaseEvent.CounterFound -> state.copy(
            counter = maxOf(state.counter, event.counter),
            renewalSentAtMillis = Long.MIN_VALUE,
            renewalInFlight = false
        ).unchanged()
        LeaseEvent.Superseded -> superseded(state)
        is LeaseEvent.ShardsWanted -> wanted(state, event.shards)
        is LeaseEvent.TableRead -> tableRead(state, event, nowMillis)
        is LeaseEvent.WatchedRead -> watchedRead(state, event, nowMillis)
        is LeaseEvent.ShardRead -> shardRead(state, event)
        is LeaseEvent.TakeSucceeded -> took(state, event, nowMillis)
        is LeaseEvent.TakeFailed -> state.copy(
            taking = state.taking.remove(event.shard)
        ).unchanged()
        LeaseEvent.Stop -> stop(state)
    }

    private fun dropExpiredShards(
        state: LeaseState,
        nowMillis: Long
    ): Step<LeaseState, LeaseEffect> =
        if (state.isLive(nowMillis)) state.unchanged() else dropAll(state)

    /** Also drops pending takes: their replies may arrive after another process took the shard. */
    private fun dropAll(state: LeaseState): Step<LeaseState, LeaseEffect> = Step(
        state.copy(held = persistentMapOf(), taking = persistentMapOf()),
        state.held.map { (shard, fence) -> LeaseEffect.Lost(shard, fence) }
    )

    private fun renewIfDue(state: LeaseState, nowMillis: Long): Step<LeaseState, LeaseEffect> {
        val isFirst = state.renewalSentAtMillis == Long.MIN_VALUE
        val isDue = isFirst || nowMillis - state.renewalSentAtMillis >= settings.renewEveryMillis
        if (!isDue || state.renewalInFlight) return state.unchanged()
        val sent = state.copy(renewalSentAtMillis = nowMillis, renewalInFlight = true)
        return sent.with(LeaseEffect.Renew(state.counter + 1, state.stopping))
    }

    private fun renewed(
        state: LeaseState,
        event: LeaseEvent.Renewed
    ): Step<LeaseState, LeaseEffect> {
        invariant(event.counter > state.counter) { "the counter of a session must rise" }
        val until = maxOf(state.leaseExpiresAtMillis, event.sentAtMillis + settings.ttlMillis)
        return state.copy(
            counter = event.counter,
            leaseExpiresAtMillis = until,
            renewalInFlight = false
        ).unchanged()
    }

    private fun superseded(state: LeaseState): Step<LeaseState, LeaseEffect> {
        val dropped = dropAll(state)
        val ended = dropped.state.copy(leaseExpiresAtMillis = Long.MIN_VALUE, stopping = true)
        return Step(ended, dropped.effects)
    }

    private fun wanted(state: LeaseState, shards: Set<String>): Step<LeaseState, LeaseEffect> {
        val unwanted = state.held.filterKeys { it !in shards }
        val next = state.copy(
            wanted = shards,
            held = state.held.filterKeys { it in shards }.toPersistentMap()
        )
        return Step(next, unwanted.flatMap { (shard, fence) -> releaseEffects(shard, fence) })
    }

    private fun stop(state: LeaseState): Step<LeaseState, LeaseEffect> {
        val next = state.copy(stopping = true, held = persistentMapOf())
        return Step(next, state.held.flatMap { (shard, fence) -> releaseEffects(shard, fence) })
    }

    private fun releaseEffects(shard: String, fence: Long): List<LeaseEffect> =
        listOf(LeaseEffect.Lost(shard, fence), LeaseEffect.Release(shard, fence))

    private fun took(
        state: LeaseState,
        event: LeaseEvent.TakeSucceeded,
        nowMillis: Long
    ): Step<LeaseState, LeaseEffect> {
        val known = state.shards[event.shard]?.fence ?: 0
        val expected = state.taking[event.shard] == event.fence && event.fence >= known
        val cleared = state.copy(taking = state.taking.remove(event.shard))
        if (!expected || state.stopping || !state.isLive(nowMillis)) {
            return cleared.with(LeaseEffect.Release(event.shard, event.fence))
        }
        invariant(event.fence > (state.held[event.shard] ?: 0)) {
            "the fence of shard ${event.shard} must rise"
        }
        val row = ShardRow(event.shard, event.fence, state.self, state.incarnation)
        return cleared.copy(
            held = state.held.put(event.shard, event.fence),
            shards = state.shards.put(event.shard, row)
        ).with(LeaseEffect.Acquired(event.shard, event.fence))
    }

    private fun tableRead(
        state: LeaseState,
        event: LeaseEvent.TableRead,
        nowMillis: Long
    ): Step<LeaseState, LeaseEffect> {
        val seen = state.copy(
            sessions = observe(state.sessions, event.sessions, nowMillis),
            shards = event.shards.associateBy { it.shard }.toPersistentMap()
        )
        val retained = dropTakenOver(seen)
        if (!seen.isLive(nowMillis) || seen.stopping) return retained
        val live = liveSessions(seen, event.endedLocalSessions, event.sentAtMillis)
        val moved = handOver(retained.state, live)
        val taking = takeFreeShards(moved.state, live, event.endedLocalSessions, event.sentAtMillis)
        val watching = taking.state.copy(watched = shardsToWatch(taking.state, live))
        return Step(watching, retained.effects + moved.effects + taking.effects)
    }

    private fun watchedRead(
        state: LeaseState,
        event: LeaseEvent.WatchedRead,
        nowMillis: Long
    ): Step<LeaseState, LeaseEffect> {
        val present = event.sessions.values.filterNotNull()
        val removed = event.sessions.filterValues { it == null }.keys
        val observed = state.sessions.putAll(observe(state.sessions, present, nowMillis))
        val seen = state.copy(sessions = removed.fold(observed) { map, name -> map.remove(name) })
        if (!seen.isLive(nowMillis) || seen.stopping) return seen.unchanged()
        val candidates = seen.watched.filterTo(mutableSetOf()) { shard ->
            // A session that was not read shows no new counter; it must not be taken for expired.
            val holder = seen.shards[shard]?.session
            val isRead = holder == null || holder in event.sessions
            isRead && isFree(seen, shard, event.endedLocalSessions, event.sentAtMillis)
        }
        if (candidates.isEmpty()) return seen.unchanged()
        val live = liveSessions(seen, event.endedLocalSessions, event.sentAtMillis)
        return takeFreeShards(seen, live, event.endedLocalSessions, event.sentAtMillis, candidates)
    }

    private fun shardRead(
        state: LeaseState,
        event: LeaseEvent.ShardRead
    ): Step<LeaseState, LeaseEffect> {
        val known = state.shards[event.row.shard]
        if (known != null && known.fence >= event.row.fence) return state.unchanged()
        return dropTakenOver(state.copy(shards = state.shards.put(event.row.shard, event.row)))
    }

    /** Returns the shards that this process should take if their holder fails or releases them. */
    private fun shardsToWatch(state: LeaseState, live: Set<String>): PersistentSet<String> =
        state.wanted.filter { shard ->
            val holder = state.shards[shard]?.session
            val others = live.asSequence().filter { it != holder }
            shard !in state.held && Rendezvous.preferred(shard, others) == state.self
        }.toPersistentSet()

    private fun observe(
        known: PersistentMap<String, ObservedSession>,
        rows: List<SessionRow>,
        nowMillis: Long
    ): PersistentMap<String, ObservedSession> = rows.associate { row ->
        val before = known[row.session]
        val isUnchanged = before != null &&
            before.row.counter == row.counter &&
            before.row.incarnation == row.incarnation
        row.session to if (isUnchanged) before.copy(row = row) else ObservedSession(row, nowMillis)
    }.toPersistentMap()

    /** Drops shards whose row has a higher fence: another process has taken them over. */
    private fun dropTakenOver(state: LeaseState): Step<LeaseState, LeaseEffect> {
        val lost = state.held.filter { (shard, fence) ->
            (state.shards[shard]?.fence ?: fence) > fence
        }
        val kept = state.held.filterKeys { it !in lost }.toPersistentMap()
        return Step(
            state.copy(held = kept),
            lost.map { (shard, fence) -> LeaseEffect.Lost(shard, fence) }
        )
    }

    private fun liveSessions(
        state: LeaseState,
        endedLocalSessions: Set<String>,
        nowMillis: Long
    ): Set<String> {
        val others = state.sessions.values.filter {
            !it.row.leaving && it.row.session !in endedLocalSessions && !isExpired(it, nowMillis)
        }
        return others.mapTo(mutableSetOf(state.self)) { it.row.session }
    }

    private fun isExpired(session: ObservedSession, nowMillis: Long): Boolean =
        nowMillis - session.changedAtMillis >= settings.ttlMillis + settings.skewMillis

    /** Releases held shards that rendezvous hashing assigns to another live session. */
    private fun handOver(state: LeaseState, live: Set<String>): Step<LeaseState, LeaseEffect> {
        val moving = state.held.filterKeys { Rendezvous.preferred(it, live) != state.self }
        if (moving.isEmpty()) return state.unchanged()
        val kept = state.held.filterKeys { it !in moving }.toPersistentMap()
        return Step(
            state.copy(held = kept),
            moving.flatMap { (shard, fence) -> releaseEffects(shard, fence) }
        )
    }

    private fun takeFreeShards(
        state: LeaseState,
        live: Set<String>,
        endedLocalSessions: Set<String>,
        nowMillis: Long,
        candidates: Set<String> = state.wanted
    ): Step<LeaseState, LeaseEffect> {
        val toTake = candidates.filter { shard ->
            shard !in state.held &&
                shard !in state.taking &&
                isFree(state, shard, endedLocalSessions, nowMillis) &&
                Rendezvous.preferred(shard, live) == state.self
        }
        val effects = toTake.map { shard ->
            val fence = state.shards[shard]?.fence ?: 0
            LeaseEffect.Take(shard, fence, fence + 1)
        }
        val taking = state.taking.putAll(effects.associate { it.shard to it.newFence })
        return Step(state.copy(taking = taking), effects)
    }

    private fun isFree(
        state: LeaseState,
        shard: String,
        endedLocalSessions: Set<String>,
        nowMillis: Long
    ): Boolean {
        val row = state.shards[shard] ?: return true
        val holder = row.session ?: return true
        if (holder == state.self || holder in endedLocalSessions) return true
        val session = state.sessions[holder] ?: return true
        return session.row.incarnation != row.incarnation || isExpired(session, nowMillis)
    }
}
