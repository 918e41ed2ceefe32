package cactusfold.controller.rate

import cactusfold.decisions.rate.BucketMachine
import cactusfold.decisions.rate.BucketState
import cactusfold.decisions.rate.GrantRequest
import cactusfold.decisions.rate.GrantResponse
import cactusfold.decisions.rate.RateLimit
import cactusfold.decisions.rate.RouterRegistry
import cactusfold.decisions.rate.TokenGrantSettings
import cactusfold.node.rows.Shards
import cactusfold.node.state.GuardedState
import cactusfold.node.time.MonotonicClock
import cactusfold.settings.fleet.FleetConfig
import java.util.concurrent.ConcurrentHashMap

/** The buckets of the workspaces whose rate shards this process holds, each under its own lock. */
public class BucketManager(settings: TokenGrantSettings, private val clock: MonotonicClock) {
    private class HeldShard(val fence: Long, val sinceMillis: Long)

    private val machine = BucketMachine(settings)
    private val shards = ConcurrentHashMap<String, HeldShard>()
    private val startedWorkspaces = ConcurrentHashMap.newKeySet<String>()
    private val buckets = ConcurrentHashMap<String, GuardedState<BucketState>>()

    @Volatile
    private var config: FleetConfig = FleetConfig.EMPTY

    @Volatile
    private var registry = RouterRegistry(emptySet(), Long.MIN_VALUE / 2)

    /** Workspaces with a bucket here. */
    public val workspaces: Set<String> get() = buckets.keys.toSet()

    /** A bucket begun anew under the same hold is not the first: old grants may be out. */
    private fun initialState(workspace: String, held: HeldShard, limit: RateLimit): BucketState =
        if (startedWorkspaces.add(workspace) && held.fence == FIRST_FENCE) {
            machine.startFull(limit, registry, held.sinceMillis)
        } else {
            machine.start(limit, registry, held.sinceMillis)
        }

    /** Begins to hold [shard]: its buckets start empty. */
    public fun onShardAcquired(shard: String, fence: Long) {
        shards[shard] = HeldShard(fence, clock.nowMillis())
    }

    /** Ends the hold of [shard] and drops its buckets. */
    public fun onShardLost(shard: String) {
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
                bucket.update { machine.reconfigure(it, limit, clock.nowMillis()) }
            }
        }
    }

    /** Takes note of the routers registered when the table was read at [readAtMillis]. */
    public fun updateRouters(routers: Set<String>, readAtMillis: Long) {
        registry = RouterRegistry(routers, readAtMillis)
        for (bucket in buckets.values) {
            bucket.update { machine.registered(it, registry, clock.nowMillis()) }
        }
    }

    /** Answers [ask] for [workspace], or returns null when its shard is not held here. */
    public fun handleRequest(workspace: String, request: GrantRequest): GrantResponse? {
        val held = shards[Shards.ofRate(workspace)] ?: return null
        val limit = config.workspaces[workspace]?.limit ?: return null
        val bucket = buckets.computeIfAbsent(workspace) {
            GuardedState(initialState(workspace, held, limit))
        }
        return bucket.exchange { state ->
            val step = machine.ask(state, request, clock.nowMillis())
            step.state to step.answer
        }
    }

    private companion object {
        const val FIRST_FENCE = 1L
    }
}
