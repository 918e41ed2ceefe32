package cactusfold.fleetmodel

/** Change of the load, or failure of runners, during a simulation. */
public sealed interface PatternEvent {
    /**
     * Multiplies the request rate of class [className] by [factor] for [forMillis]; if [model] is
     * given, all these requests are for it.
     */
    public data class Burst(
        public val className: String,
        public val factor: Double,
        public val forMillis: Long,
        public val model: String? = null
    ) : PatternEvent

    /** Permanently replaces the models requested by class [className] with [models]. */
    public data class ShiftDemand(public val className: String, public val models: List<String>) :
        PatternEvent

    /** Crashes a [share] of the runners, which restart after [downMillis] with only their disk. */
    public data class Crash(public val share: Double, public val downMillis: Long) : PatternEvent

    /** Permanently removes a [share] of the runners. */
    public data class Reclaim(public val share: Double) : PatternEvent

    /** Slows a [share] of the runners down by [factor] for [forMillis]. */
    public data class Slowdown(
        public val share: Double,
        public val factor: Double,
        public val forMillis: Long
    ) : PatternEvent

    /** A new coordinator knows neither arrivals and refusals nor what the store sustains. */
    public data object CoordinatorChange : PatternEvent

    /** For [forMillis], refused callers of class [className] retry immediately, [retries] times. */
    public data class RetryStorm(
        public val className: String,
        public val retries: Int,
        public val forMillis: Long
    ) : PatternEvent
}

/**
 * Named scenario of load and failure.
 *
 * @property startsEmpty whether runners start without loaded or cached models.
 * @property events events with their time in milliseconds since the start.
 * @property fleet the fleet that the pattern runs on.
 */
public class Pattern(
    public val name: String,
    public val summary: String,
    public val startsEmpty: Boolean = false,
    public val events: List<Pair<Long, PatternEvent>>,
    public val fleet: FleetSpec = Patterns.fleet
)

/** Patterns of `bin/experiment` and the fleet that they run on. */
public object Patterns {
    private const val FREQUENT = "frequent"
    private const val RARE = "rare"

    /** Fleet of 13 runners with 4 frequently and 90 rarely requested models. */
    public val fleet: FleetSpec = fleet {
        engine = EngineModel(runners = 13)
        callers(FREQUENT, 18.0, (1..4).map { "f$it" }, targetMillis = 1_000)
        callers(RARE, 1.5, (1..90).map { "r$it" }, targetMillis = 4_000, isRetryable = false)
    }

    public val all: List<Pattern> = listOf(
        pattern("quiet", "steady load without failures"),
        pattern(
            "burst-on-rare",
            "a burst of requests for one rare model",
            10_000L to PatternEvent.Burst(RARE, 8.0, 5_000, model = "r77")
        ),
        pattern(
            "rare-models-at-once",
            "four times as many requests for rare models",
            10_000L to PatternEvent.Burst(RARE, 4.0, 8_000)
        ),
        pattern(
            "demand-moves-on",
            "frequent requests shift to models that were rare",
            15_000L to PatternEvent.ShiftDemand(FREQUENT, listOf("r81", "r82", "f3", "f4")),
            35_000L to PatternEvent.ShiftDemand(FREQUENT, listOf("r83", "r84", "f1", "f2"))
        ),
        pattern(
            "spot-reclaim",
            "a fifth of the runners is permanently removed",
            20_000L to PatternEvent.Reclaim(0.2)
        ),
        pattern(
            "crash-of-a-quarter",
            "a quarter of the runners crashes and restarts",
            20_000L to PatternEvent.Crash(0.25, downMillis = 4_000)
        ),
        pattern(
            "last-copies-lost",
            "demand shifts to models with one replica, then 60 % of the runners crash",
            10_000L to PatternEvent.ShiftDemand(FREQUENT, listOf("r81", "r82", "r83", "r84")),
            20_000L to PatternEvent.Crash(0.6, downMillis = 30_000)
        ),
        pattern(
            "retry-storm",
            "refused callers retry immediately",
            10_000L to PatternEvent.Burst(RARE, 4.0, 10_000),
            10_000L to PatternEvent.RetryStorm(RARE, retries = 3, forMillis = 10_000)
        ),
        pattern(
            "slow-runners",
            "a quarter of the runners is eight times slower",
            15_000L to PatternEvent.Slowdown(0.25, factor = 8.0, forMillis = 15_000)
        ),
        reports("reports-at-once", storeLoads = 2),
        reports("reports-at-once-3", storeLoads = 3),
        reports("reports-at-once-4", storeLoads = 4),
        reports(
            "reports-new-coordinator",
            storeLoads = 2,
            20_000L to PatternEvent.CoordinatorChange
        ),
        Pattern("cold-start", "all runners start without models", startsEmpty = true, emptyList())
    )

    public fun find(name: String): Pattern? = all.find { it.name == name }

    /**
     * A third of the colour advisory's fleet, where tips are urgent and reports patient. Most places
     * have models in use. A fifth of the models of reports are only in the store, and reports come
     * three times as often for 30 s.
     */
    private fun reports(
        name: String,
        storeLoads: Int,
        vararg events: Pair<Long, PatternEvent>
    ): Pattern = Pattern(
        name,
        "three times the reports, a store of $storeLoads loads, other events: ${events.size}",
        startsEmpty = false,
        listOf(10_000L to PatternEvent.Burst("reports", 3.0, 30_000)) + events,
        reportsFleet(storeLoads)
    )

    private fun reportsFleet(storeLoads: Int): FleetSpec = fleet {
        engine = EngineModel(
            runners = 21,
            slots = 24,
            maxModelsOnDisk = 17,
            storeFullSpeedLoads = storeLoads,
            storeLoadMillis = 11_000,
            memoryLoadMillis = 800
        )
        cachedShare = 0.8
        callers("tips", 60.0, (1..45).map { "t$it" }, 800, 8_000, priority = 0)
        callers("reports", 1.0, (1..152).map { "r$it" }, 8_000, 32_000, priority = 2)
    }

    private fun pattern(
        name: String,
        summary: String,
        vararg events: Pair<Long, PatternEvent>
    ): Pattern = Pattern(name, summary, startsEmpty = false, events.toList())
}
