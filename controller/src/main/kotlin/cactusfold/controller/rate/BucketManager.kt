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

/**
 * Runs the [BucketMachine] for each workspace whose rate shard this process holds. Each bucket has
 * its own lock.
 */
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

    /** The workspaces that have a bucket at this process. */
    public val workspaces: Set<String> get() = buckets.keys.toSet()

    /**
     * Returns the initial state of the bucket of [workspace]. It is full only if the shard never
     * had another holder and this is the first bucket of the workspace. Otherwise grants of an
     * earlier bucket may be outstanding.
     */
    private fun initialState(workspace: String, held: HeldShard, limit: RateLimit): BucketState =
        if (startedWorkspaces.add(workspace) && held.fence == FIRST_FENCE) {
            machine.startFull(limit, registry, held.sinceMillis)
        } else {
            machine.start(limit, registry, held.sinceMillis)
        }

    /** Accepts requests for the workspaces of [shard], which this process now holds. */
    public fun onShardAcquired(shard: String, fence: Long) {
        shards[shard] = HeldShard(fence, clock.nowMillis())
    }

    /** Drops the buckets of [shard], which this process no longer holds. */
    public fun onShardLost(shard: String) {
        shards.remove(shard)
        buckets.keys.filter { Shards.ofRate(it) == shard }.forEach { buckets.remove(it) }
    }

    /** Applies the rate limits in [next] and drops buckets of workspaces that have none. */
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

    /** Sets the routers that were registered when the table was read at [readAtMillis]. */
    public fun updateRouters(routers: Set<String>, readAtMillis: Long) {
        registry = RouterRegistry(routers, readAtMillis)
        for (bucket in buckets.values) {
            bucket.update { machine.registered(it, registry, clock.nowMillis()) }
        }
    }

    /**
     * Returns the response to [request] of a router, or null if this process does not hold the
     * shard of [workspace] or knows no limit for it.
     */
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
