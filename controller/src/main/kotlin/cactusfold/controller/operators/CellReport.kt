package cactusfold.controller.operators

import cactusfold.decisions.placement.CellAccount
import cactusfold.decisions.placement.CellState
import cactusfold.decisions.placement.RunnerState
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject

/** JSON representation of the state of a cell, for operators. */
internal object CellReport {
    fun of(name: String, state: CellState): JsonObject = JsonObject()
        .put("cell", name)
        .put("fence", state.fence)
        .put("recovered", state.recovered)
        .put("wanted", JsonArray(state.wanted.toList()))
        .put("runners", JsonArray(state.runners.values.map { runner(it, state) }))

    private fun runner(runner: RunnerState, state: CellState): JsonObject = JsonObject()
        .put("runner", runner.spec.name)
        .put("usable", CellAccount.usable(runner))
        .put("leaving", runner.leaving)
        .put("memory_bytes", runner.spec.modelMemoryBytes)
        .put("used_bytes", CellAccount.usedBytes(runner, state.specs))
        .put(
            "models",
            JsonArray(
                runner.inventory?.models?.values.orEmpty().map {
                    JsonObject().put("model", it.name).put("phase", it.phase.name.lowercase())
                }
            )
        )
        .put(
            "orders",
            JsonArray(
                runner.orders.values.map {
                    JsonObject()
                        .put("order", it.id)
                        .put("kind", it.kind.name.lowercase())
                        .put("model", it.model)
                        .put("phase", it.phase.name.lowercase())
                }
            )
        )
}
