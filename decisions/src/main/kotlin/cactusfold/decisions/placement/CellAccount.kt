package cactusfold.decisions.placement

/** The replicas and the memory of a cell, counted so that nothing that may exist is left out. */
public object CellAccount {

    /** Models that take memory on [runner], or may: its inventory and all unsettled loads. */
    public fun occupants(runner: RunnerState): Set<String> {
        val present = runner.inventory?.models?.keys.orEmpty()
        return present + runner.orders.values.filter { it.kind == OrderKind.LOAD }.map { it.model }
    }

    /** Memory in use on [runner], an unknown model counting as all of it. */
    public fun usedBytes(runner: RunnerState, specs: Map<String, ModelSpec>): Long =
        occupants(runner).sumOf { model ->
            runner.orders[model]?.memoryBytes ?: specs[model]?.memoryBytes
                ?: runner.spec.modelMemoryBytes
        }

    /** Memory that may be given away on [runner]; nothing while its inventory is not known. */
    public fun freeBytes(runner: RunnerState, specs: Map<String, ModelSpec>): Long =
        if (runner.inventory == null) 0 else runner.spec.modelMemoryBytes - usedBytes(runner, specs)

    /** Whether [runner] may be given work at all. */
    public fun usable(runner: RunnerState): Boolean =
        !runner.leaving && runner.failedAtMillis == null && runner.inventory != null

    /** Runners on which [model] is ready and not about to be unloaded. */
    public fun ready(state: CellState, model: String): List<RunnerState> =
        state.runners.values.filter { isReady(it, model) }

    /** Runners on which [model] is ready, is loading, or may be. */
    public fun presentOrLoading(state: CellState, model: String): List<RunnerState> =
        state.runners.values.filter { runner ->
            val order = runner.orders[model]
            val isUnloading = order?.kind == OrderKind.UNLOAD
            !isUnloading &&
                runner.failedAtMillis == null &&
                !runner.leaving &&
                (model in runner.inventory?.models.orEmpty() || order?.kind == OrderKind.LOAD)
        }

    /** Whether requests for [model] may go to [runner]. */
    public fun isReady(runner: RunnerState, model: String): Boolean = usable(runner) &&
        runner.orders[model]?.kind != OrderKind.UNLOAD &&
        runner.inventory?.models?.get(model)?.phase == ModelPhase.READY
}
