package cactusfold.fleetmodel

import cactusfold.decisions.residency.ModelCost

/**
 * Load of one class of requests.
 *
 * @property perSecond total arrival rate over all callers, without retries.
 * @property models requested models, chosen with equal probability.
 * @property targetMillis latency target of the first chunk, counted from the first attempt.
 * @property firstChunkTimeoutMillis how long a caller waits for the first chunk of one attempt.
 * @property chunks number of streamed chunks of a complete response.
 * @property isRetryable whether an aborted request may run again on another runner.
 * @property priority 0 is the most urgent.
 */
public data class RequestClass(
    public val name: String,
    public val perSecond: Double,
    public val models: List<String>,
    public val targetMillis: Long,
    public val firstChunkTimeoutMillis: Long,
    public val promptTokens: Int = 1_100,
    public val chunks: Int = 57,
    public val isRetryable: Boolean = true,
    public val priority: Int = 0
)

/**
 * Capacity and timing of identical runners of one engine.
 *
 * @property maxResidentModels number of models that fit in a runner's memory.
 * @property maxModelsOnDisk number of models that a runner's disk caches; those loaded longest ago
 *   are evicted first.
 * @property prefillTokensPerMilli prompt tokens that a runner prefills per millisecond.
 * @property chunkIntervalMillis time between two chunks of a response.
 * @property storeFullSpeedLoads concurrent loads that the weight store serves at full speed.
 * @property reportLagMillis delay until the end of a load is reported.
 */
public data class EngineModel(
    public val runners: Int,
    public val slots: Int = 48,
    public val maxResidentModels: Int = 3,
    public val maxModelsOnDisk: Int = 20,
    public val prefillTokensPerMilli: Double = 20.0,
    public val chunkIntervalMillis: Double = 35.0,
    public val storeFullSpeedLoads: Int = 4,
    public val storeLoadsPerSecond: Double = 4.0,
    public val storeLoadMillis: Long = 9_000,
    public val diskLoadMillis: Long = 2_000,
    public val memoryLoadMillis: Long = 1_200,
    public val reportLagMillis: Long = 300
) {
    /** Returns the planner's cost of [model]; all models are of equal size. */
    internal fun costOf(model: String): ModelCost = ModelCost(
        model,
        MEGABYTES,
        0.0,
        0,
        storeLoadMillis,
        diskLoadMillis,
        memoryLoadMillis
    )

    internal val weightMegabytes: Double get() = MEGABYTES * maxResidentModels

    private companion object {
        const val MEGABYTES = 70_000.0
    }
}

/**
 * Simulated fleet, its load and the duration of arrivals.
 *
 * @property cachedShare share of the models that a disk has at the start.
 */
public data class FleetSpec(
    public val engine: EngineModel,
    public val classes: List<RequestClass>,
    public val durationMillis: Long = 60_000,
    public val cachedShare: Double = 1.0
) {
    /** Models of all request classes, by descending request rate per model. */
    public val models: List<String> get() = classes.sortedByDescending {
        it.perSecond /
            it.models.size
    }
        .flatMap { it.models }.distinct()
}

/** Builds a fleet: `fleet { callers("drafts", 18.0, listOf("m1"), targetMillis = 1_000) }`. */
public fun fleet(build: FleetBuilder.() -> Unit): FleetSpec = FleetBuilder().apply(build).toSpec()

/** Builder of a [FleetSpec]; see [fleet]. */
public class FleetBuilder {
    /** Model of the fleet's runners. */
    public var engine: EngineModel = EngineModel(runners = 12)

    /** How long requests arrive. */
    public var durationMillis: Long = 60_000

    /** Share of the models that a disk has at the start. */
    public var cachedShare: Double = 1.0
    private val classes = mutableListOf<RequestClass>()

    /** Adds a class of [perSecond] requests per second for [models]. */
    public fun callers(
        name: String,
        perSecond: Double,
        models: List<String>,
        targetMillis: Long,
        firstChunkTimeoutMillis: Long = TIMEOUT_TARGET_RATIO * targetMillis,
        isRetryable: Boolean = true,
        priority: Int = 0
    ) {
        classes += RequestClass(
            name,
            perSecond,
            models,
            targetMillis,
            firstChunkTimeoutMillis,
            isRetryable = isRetryable,
            priority = priority
        )
    }

    internal fun toSpec(): FleetSpec =
        FleetSpec(engine, classes.toList(), durationMillis, cachedShare)

    private companion object {
        /** The contract with callers: they give up on a stream after four times the target. */
        const val TIMEOUT_TARGET_RATIO = 4
    }
}
