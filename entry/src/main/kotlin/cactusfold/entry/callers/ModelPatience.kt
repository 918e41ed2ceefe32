package cactusfold.entry.callers

import cactusfold.entry.residency.ModelNeed
import cactusfold.entry.residency.ModelWait
import cactusfold.ports.serving.ServingRoute

/**
 * The wait of one request while no upstream has its model. The caller is patient from the arrival
 * of the request or, once its stream has begun, from the last event on.
 */
internal class ModelPatience(
    private val dependencies: RequestFlowDependencies,
    private val request: CallerRequest,
    private val route: ServingRoute,
    private val deadlineAtMillis: Long,
    private val priority: Int
) {
    /**
     * Waits until an upstream that [placement] accepts has [model], while the caller is patient.
     */
    suspend fun awaitModel(
        placement: StreamPlacement,
        model: String,
        hasBegun: Boolean
    ): ModelWait {
        val startedAtMillis = dependencies.clock.nowMillis()
        val sinceMillis = if (hasBegun) startedAtMillis else request.arrivedAtMillis
        val patienceEndsMillis = route.patienceMillis?.let { sinceMillis + it } ?: deadlineAtMillis
        val need = ModelNeed(
            service = placement.service,
            model = model,
            adapter = request.facts.adapter,
            softwareVersion = placement.softwareVersion,
            targetAtMillis = sinceMillis + route.targetMillis,
            deadlineAtMillis =
            minOf(deadlineAtMillis, patienceEndsMillis) - FIRST_PIECE_RESERVE_MILLIS,
            arrivedAtMillis = sinceMillis,
            priority = priority,
            tokens = (request.facts.promptTokens ?: 0) + (request.facts.outputTokens ?: 0),
            homes = placement.homes
        )
        return dependencies.waits.await(need).also { log(need, it, startedAtMillis) }
    }

    private fun log(need: ModelNeed, wait: ModelWait, startedAtMillis: Long) {
        dependencies.events.write(
            "model-waited",
            "request" to request.facts.id,
            "model" to need.model,
            "adapter" to need.adapter,
            "version" to need.softwareVersion,
            "end" to wait.toString(),
            "waited_ms" to dependencies.clock.nowMillis() - startedAtMillis
        )
    }

    private companion object {
        /** Subtracted from the wait: the engine's prefill precedes the first piece. */
        const val FIRST_PIECE_RESERVE_MILLIS = 150L
    }
}
