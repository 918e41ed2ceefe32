package cactusfold.decisions.placement

/**
 * Settings of model placement.
 *
 * @property maxRemoteLoads concurrent loads from the weight store; more would slow each other down.
 * @property maxAdapterLoads concurrent adapter loads over all runners.
 * @property diskBytesPerSecond speed of a load from a runner's own disk.
 * @property remoteBytesPerSecond speed of a load from the weight store.
 * @property minKeepAliveMillis minimum time that an idle model stays loaded.
 * @property maxKeepAliveMillis maximum time that an idle model stays loaded.
 * @property keepAliveQuantile share of past gaps between requests that the keep-alive covers.
 * @property orderRetryMillis interval at which an order is resent until it is acknowledged.
 * @property intentRetryMillis pause after an intent could not be written.
 * @property demandTtlMillis age at which a router's demand report expires.
 */
public data class PlacementSettings(
    public val maxRemoteLoads: Int = 4,
    public val maxAdapterLoads: Int = 32,
    public val diskBytesPerSecond: Long = 2_000_000_000,
    public val remoteBytesPerSecond: Long = 500_000_000,
    public val minKeepAliveMillis: Long = 60_000,
    public val maxKeepAliveMillis: Long = 3_600_000,
    public val keepAliveQuantile: Double = 0.9,
    public val orderRetryMillis: Long = 1_000,
    public val intentRetryMillis: Long = 500,
    public val demandTtlMillis: Long = 10_000
)

/**
 * Plan to load a model on [runner].
 *
 * @property evictions models to unload there first.
 * @property readyInMillis estimated time until the model is ready.
 * @property remote whether the weights come from the weight store, not from the runner's disk.
 */
public data class LoadPlan(
    public val runner: String,
    public val evictions: List<String>,
    public val readyInMillis: Long,
    public val remote: Boolean
)

/** Chooses runners for loads and models for evictions. */
public class CellPlanner(private val settings: PlacementSettings) {

    /** Returns the number of replicas needed to process all requests of [demand] concurrently. */
    public fun desiredReplicas(demand: ModelDemandState, slotsPerReplica: Int): Int {
        val requests = demand.waiting + demand.running
        if (requests == 0) return 0
        return (requests + slotsPerReplica - 1) / slotsPerReplica
    }

    /** Returns the plan that makes [spec] ready soonest, or null if no runner can load it now. */
    public fun planLoad(state: CellState, spec: ModelSpec, nowMillis: Long): LoadPlan? =
        state.runners.values
            .filter { isCandidate(it, spec) }
            .mapNotNull { plan(state, it, spec, nowMillis) }
            .minWithOrNull(compareBy({ it.readyInMillis }, { it.runner }))

    private fun isCandidate(runner: RunnerState, spec: ModelSpec): Boolean {
        val hasBase = spec.base == null || CellAccount.isReady(runner, spec.base)
        return CellAccount.usable(runner) &&
            hasBase &&
            spec.name !in runner.orders &&
            spec.name !in CellAccount.occupants(runner)
    }

    private fun plan(
        state: CellState,
        runner: RunnerState,
        spec: ModelSpec,
        nowMillis: Long
    ): LoadPlan? {
        val missing = spec.memoryBytes - CellAccount.freeBytes(runner, state.specs)
        val evictions = if (missing <= 0) {
            emptyList()
        } else {
            evictionsFor(state, runner, missing, spec, nowMillis) ?: return null
        }
        val remote = spec.name !in runner.inventory!!.onDisk
        val speed = if (remote) settings.remoteBytesPerSecond else settings.diskBytesPerSecond
        val loading = runner.orders.size * ORDER_COST_MILLIS
        val copying = spec.memoryBytes * MILLIS_PER_SECOND / speed
        val evicting = evictions.size * EVICTION_COST_MILLIS
        return LoadPlan(runner.spec.name, evictions, copying + evicting + loading, remote)
    }

    /** Returns models to evict from [runner] to free [missingBytes], least recently used first. */
    private fun evictionsFor(
        state: CellState,
        runner: RunnerState,
        missingBytes: Long,
        spec: ModelSpec,
        nowMillis: Long
    ): List<String>? {
        val idle = runner.inventory!!.models.values
            .filter { it.phase == ModelPhase.READY && it.name != spec.base }
            .filter { isEvictable(state, runner, it.name, nowMillis) }
            .sortedBy { state.demand[it.name]?.history?.lastAtMillis ?: Long.MIN_VALUE }
        var freed = 0L
        val chosen = mutableListOf<String>()
        for (model in idle) {
            if (freed >= missingBytes) break
            freed += state.specs[model.name]?.memoryBytes ?: 0
            chosen += model.name
        }
        return chosen.takeIf { freed >= missingBytes }
    }

    private fun isEvictable(
        state: CellState,
        runner: RunnerState,
        model: String,
        nowMillis: Long
    ): Boolean {
        val inUse = state.demand[model]?.let { isBusy(it, nowMillis) } ?: false
        val adaptersHere = runner.inventory!!.models.keys.any { state.specs[it]?.base == model }
        return !inUse && !adaptersHere && model !in runner.orders
    }

    /** Whether unexpired router reports show waiting or running requests for the model. */
    public fun isBusy(demand: ModelDemandState, nowMillis: Long): Boolean =
        demand.routers.values.any {
            val recent = nowMillis - it.reportedAtMillis < settings.demandTtlMillis
            recent && it.waiting + it.running > 0
        }

    /** Returns the evictable models of [runner] whose keep-alive has expired. */
    public fun expiredModels(state: CellState, runner: RunnerState, nowMillis: Long): List<String> {
        val models = runner.inventory?.models?.values.orEmpty()
        return models.filter { it.phase == ModelPhase.READY }
            .map { it.name }
            .filter {
                isEvictable(state, runner, it, nowMillis) &&
                    isPastKeepAlive(state, it, nowMillis)
            }
    }

    private fun isPastKeepAlive(state: CellState, model: String, nowMillis: Long): Boolean {
        val history = state.demand[model]?.history ?: return true
        val last = history.lastAtMillis ?: return true
        val keep = history.keepAliveMillis(
            settings.keepAliveQuantile,
            settings.minKeepAliveMillis,
            settings.maxKeepAliveMillis
        )
        return nowMillis - last >= keep
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L

        /** Estimated delay of a load by each unsettled order of its runner. */
        const val ORDER_COST_MILLIS = 500L

        /** Estimated duration of an eviction. */
        const val EVICTION_COST_MILLIS = 200L
    }
}
