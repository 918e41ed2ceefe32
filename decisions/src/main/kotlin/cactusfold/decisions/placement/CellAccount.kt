package cactusfold.decisions.placement

/** Conservative accounting of a cell's replicas and memory: includes all that may be loaded. */
public object CellAccount {

    /** Models that occupy or may occupy memory on [runner]: its inventory and unsettled loads. */
    public fun occupants(runner: RunnerState): Set<String> {
        val present = runner.inventory?.models?.keys.orEmpty()
        return present + runner.orders.values.filter { it.kind == OrderKind.LOAD }.map { it.model }
    }

    /** Memory in use on [runner]. A model without a spec counts as the runner's whole memory. */
    public fun usedBytes(runner: RunnerState, specs: Map<String, ModelSpec>): Long =
        occupants(runner).sumOf { model ->
            runner.orders[model]?.memoryBytes ?: specs[model]?.memoryBytes
                ?: runner.spec.modelMemoryBytes
        }

    /** Memory available for loads on [runner]; zero while its inventory is unknown. */
    public fun freeBytes(runner: RunnerState, specs: Map<String, ModelSpec>): Long =
        if (runner.inventory == null) 0 else runner.spec.modelMemoryBytes - usedBytes(runner, specs)

    /** Whether [runner] can serve requests and take orders. */
    public fun usable(runner: RunnerState): Boolean =
        !runner.leaving && runner.failedAtMillis == null && runner.inventory != null

    /** Runners on which [model] is ready and has no pending unload order. */
    public fun ready(state: CellState, model: String): List<RunnerState> =
        state.runners.values.filter { isReady(it, model) }

    /** Runners on which [model] is ready, is loading, or may be loading. */
    public fun presentOrLoading(state: CellState, model: String): List<RunnerState> =
        state.runners.values.filter { runner ->
            val order = runner.orders[model]
            val isUnloading = order?.kind == OrderKind.UNLOAD
            !isUnloading &&
                runner.failedAtMillis == null &&
                !runner.leaving &&
                (model in runner.inventory?.models.orEmpty() || order?.kind == OrderKind.LOAD)
        }

    /** Whether requests for [model] can be sent to [runner]. */
    public fun isReady(runner: RunnerState, model: String): Boolean = usable(runner) &&
        runner.orders[model]?.kind != OrderKind.UNLOAD &&
        runner.inventory?.models?.get(model)?.phase == ModelPhase.READY
}
