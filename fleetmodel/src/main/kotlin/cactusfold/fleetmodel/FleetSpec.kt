package cactusfold.fleetmodel

import cactusfold.decisions.residency.ModelCost

/**
 * A class of requests for models.
 *
 * @property perSecond requests a second, all callers together.
 * @property models what they ask for, each as often as the others.
 * @property targetMillis by when the first piece should be there, from the first attempt on.
 * @property patienceMillis how long a caller waits for the first piece of one attempt.
 * @property pieces pieces of a whole answer.
 * @property mayRunAgain whether a request that broke off may run on another runner.
 */
public data class CallerClass(
    public val name: String,
    public val perSecond: Double,
    public val models: List<String>,
    public val targetMillis: Long,
    public val patienceMillis: Long,
    public val promptTokens: Int = 1_100,
    public val pieces: Int = 57,
    public val mayRunAgain: Boolean = true
)

/**
 * The runners of one engine.
 *
 * @property modelsAtOnce models that fit a runner's memory.
 * @property diskModels models that a runner's disk keeps, those longest unused going first.
 * @property prefillTokensPerMilli prompt tokens that a runner reads in a millisecond.
 * @property pieceMillis time between two pieces of an answer.
 * @property storeLoadsAtOnce loads that the weight store really carries at full speed.
 * @property reportLagMillis how much later than its end a load is known of.
 */
public data class EngineModel(
    public val runners: Int,
    public val slots: Int = 48,
    public val modelsAtOnce: Int = 3,
    public val diskModels: Int = 20,
    public val prefillTokensPerMilli: Double = 20.0,
    public val pieceMillis: Double = 35.0,
    public val storeLoadsAtOnce: Int = 4,
    public val storeLoadsPerSecond: Double = 4.0,
    public val storeLoadMillis: Long = 9_000,
    public val diskLoadMillis: Long = 2_000,
    public val memoryLoadMillis: Long = 1_200,
    public val reportLagMillis: Long = 300
) {
    /** The models as the planner knows them; each takes an equal part of a runner's memory. */
    internal fun costOf(model: String): ModelCost = ModelCost(
        model,
        MEGABYTES,
        0.0,
        0,
        storeLoadMillis,
        diskLoadMillis,
        memoryLoadMillis
    )

    internal val weightMegabytes: Double get() = MEGABYTES * modelsAtOnce

    private companion object {
        const val MEGABYTES = 70_000.0
    }
}

/** A fleet, its callers and how long they are watched. */
public data class FleetSpec(
    public val engine: EngineModel,
    public val classes: List<CallerClass>,
    public val lengthMillis: Long = 60_000
) {
    /** All models that are ever asked for, the most asked for first. */
    public val models: List<String> get() = classes.sortedByDescending {
        it.perSecond /
            it.models.size
    }
        .flatMap { it.models }.distinct()
}

/** Builds a fleet: `fleet { engine = …; callers("drafts") { perSecond = 18.0 } }`. */
public fun fleet(build: FleetBuilder.() -> Unit): FleetSpec = FleetBuilder().apply(build).toSpec()

/** See [fleet]. */
public class FleetBuilder {
    /** The runners. */
    public var engine: EngineModel = EngineModel(runners = 12)

    /** How long the fleet is watched. */
    public var lengthMillis: Long = 60_000
    private val classes = mutableListOf<CallerClass>()

    /** Adds a class of requests, [perSecond] of them for [models]. */
    public fun callers(
        name: String,
        perSecond: Double,
        models: List<String>,
        targetMillis: Long,
        patienceMillis: Long = TARGETS_OF_PATIENCE * targetMillis,
        mayRunAgain: Boolean = true
    ) {
        classes += CallerClass(
            name,
            perSecond,
            models,
            targetMillis,
            patienceMillis,
            mayRunAgain = mayRunAgain
        )
    }

    internal fun toSpec(): FleetSpec = FleetSpec(engine, classes.toList(), lengthMillis)

    private companion object {
        /** Callers of streams leave after four times the target, by the users' contract. */
        const val TARGETS_OF_PATIENCE = 4
    }
}
