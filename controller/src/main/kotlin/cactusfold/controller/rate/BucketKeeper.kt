package cactusfold.controller.rate

import cactusfold.decisions.rate.BucketMachine
import cactusfold.decisions.rate.BucketState
import cactusfold.decisions.rate.GrantRequest
import cactusfold.decisions.rate.GrantResponse
import cactusfold.decisions.rate.RateLimit
import cactusfold.decisions.rate.RouterRegistry
import cactusfold.decisions.rate.TokenGrantSettings
import cactusfold.node.rows.Shards
import cactusfold.node.state.Guarded
import cactusfold.node.time.MonotonicClock
import cactusfold.settings.fleet.FleetConfig
import java.util.concurrent.ConcurrentHashMap

/** The buckets of the workspaces whose rate shards this process holds, each under its own lock. */
public class BucketKeeper(settings: TokenGrantSettings, private val clock: MonotonicClock) {
    private class Held(val fence: Long, val sinceMillis: Long)

    private val holder = BucketMachine(settings)
    private val shards = ConcurrentHashMap<String, Held>()
    private val begun = ConcurrentHashMap.newKeySet<String>()
    private val buckets = ConcurrentHashMap<String, Guarded<BucketState>>()

    @Volatile
    private var config: FleetConfig = FleetConfig.EMPTY

    @Volatile
    private var registry = RouterRegistry(emptySet(), Long.MIN_VALUE / 2)

    /** Workspaces with a bucket here. */
    public val workspaces: Set<String> get() = buckets.keys.toSet()

    /** A bucket begun anew under the same hold is not the first: old grants may be out. */
    private fun startOf(workspace: String, held: Held, limit: RateLimit): BucketState =
        if (begun.add(workspace) && held.fence == FIRST_FENCE) {
            holder.startFull(limit, registry, held.sinceMillis)
        } else {
            holder.start(limit, registry, held.sinceMillis)
        }

    /** Begins to hold [shard]: its buckets start empty. */
    public fun acquired(shard: String, fence: Long) {
        shards[shard] = Held(fence, clock.nowMillis())
    }

    /** Ends the hold of [shard] and drops its buckets. */
    public fun lost(shard: String) {
        shards.remove(shard)
        buckets.keys.filter { Shards.ofRate(it) == shard }.forEach { buckets.remove(it) }
    }

    /** Takes over the limits of [next]. */
    public fun configure(next: FleetConfig) {
        config = next
        for ((workspace, bucket) in buckets) {
            val limit = next.workspaces[workspace]?.limit
            if (limit == null) {
                buckets.remove(workspace)
            } else {
                bucket.update { holder.reconfigure(it, limit, clock.nowMillis()) }
            }
        }
    }

    /** Takes note of the routers registered when the table was read at [readAtMillis]. */
    public fun registered(routers: Set<String>, readAtMillis: Long) {
        registry = RouterRegistry(routers, readAtMillis)
        for (bucket in buckets.values) {
            bucket.update { holder.registered(it, registry, clock.nowMillis()) }
        }
    }

    /** Answers [ask] for [workspace], or returns null when its shard is not held here. */
    public fun ask(workspace: String, ask: GrantRequest): GrantResponse? {
        val held = shards[Shards.ofRate(workspace)] ?: return null
        val limit = config.workspaces[workspace]?.limit ?: return null
        val bucket = buckets.computeIfAbsent(workspace) {
            Guarded(startOf(workspace, held, limit))
        }
        return bucket.exchange { state ->
            val step = holder.ask(state, ask, clock.nowMillis())
            step.state to step.answer
        }
    }

    private companion object {
        const val FIRST_FENCE = 1L
    }
}
