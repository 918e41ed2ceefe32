package cactusfold.fleetmodel

/** Something that happens to a fleet or to its callers. */
public sealed interface Change {
    /** [factor] times as many requests of class [name] for [forMillis]; all for [model] if given. */
    public data class Burst(
        public val name: String,
        public val factor: Double,
        public val forMillis: Long,
        public val model: String? = null
    ) : Change

    /** Requests of class [name] go to [models] from now on. */
    public data class MoveOn(public val name: String, public val models: List<String>) : Change

    /** A [share] of the runners ends at once and is back, empty but for its disk, [downMillis] later. */
    public data class Crash(public val share: Double, public val downMillis: Long) : Change

    /** A [share] of the runners is taken away for good. */
    public data class Reclaim(public val share: Double) : Change

    /** A [share] of the runners works [factor] times slower for [forMillis]. */
    public data class Slow(
        public val share: Double,
        public val factor: Double,
        public val forMillis: Long
    ) : Change

    /** Callers of class [name] that are refused come back at once, [times] times, for [forMillis]. */
    public data class RetryStorm(
        public val name: String,
        public val times: Int,
        public val forMillis: Long
    ) : Change
}

/** A named load or failure: what happens when, in milliseconds from the start. */
public class Pattern(
    public val name: String,
    public val summary: String,
    public val startsEmpty: Boolean = false,
    public val changes: List<Pair<Long, Change>>
)

/** The patterns that experiments know, for fleets with a class of frequent and one of rare models. */
public object Patterns {
    private const val FREQUENT = "frequent"
    private const val RARE = "rare"

    /** A fleet of 13 runners: a few models asked for all the time, and 90 asked for now and then. */
    public val fleet: FleetSpec = fleet {
        engine = EngineModel(runners = 13)
        callers(FREQUENT, 18.0, (1..4).map { "f$it" }, targetMillis = 1_000)
        callers(RARE, 1.5, (1..90).map { "r$it" }, targetMillis = 4_000, mayRunAgain = false)
    }

    /** All patterns. */
    public val all: List<Pattern> = listOf(
        pattern("quiet", "nothing happens"),
        pattern(
            "burst-on-rare",
            "many ask for one rare model at once",
            10_000L to Change.Burst(RARE, 8.0, 5_000, model = "r77")
        ),
        pattern(
            "rare-models-at-once",
            "rare models are asked for four times as often",
            10_000L to Change.Burst(RARE, 4.0, 8_000)
        ),
        pattern(
            "demand-moves-on",
            "frequent requests move to models that were rare",
            15_000L to Change.MoveOn(FREQUENT, listOf("r81", "r82", "f3", "f4")),
            35_000L to Change.MoveOn(FREQUENT, listOf("r83", "r84", "f1", "f2"))
        ),
        pattern(
            "spot-reclaim",
            "a fifth of the runners is taken away",
            20_000L to Change.Reclaim(0.2)
        ),
        pattern(
            "crash-of-a-quarter",
            "a quarter of the runners crashes and comes back",
            20_000L to Change.Crash(0.25, downMillis = 4_000)
        ),
        pattern(
            "last-copies-lost",
            "demand has moved to models with one copy, whose runners crash",
            10_000L to Change.MoveOn(FREQUENT, listOf("r81", "r82", "r83", "r84")),
            20_000L to Change.Crash(0.6, downMillis = 30_000)
        ),
        pattern(
            "retry-storm",
            "callers that are refused come back at once",
            10_000L to Change.Burst(RARE, 4.0, 10_000),
            10_000L to Change.RetryStorm(RARE, times = 3, forMillis = 10_000)
        ),
        pattern(
            "slow-runners",
            "a quarter of the runners works eight times slower",
            15_000L to Change.Slow(0.25, factor = 8.0, forMillis = 15_000)
        ),
        Pattern("cold-start", "all runners begin empty", startsEmpty = true, emptyList())
    )

    /** Returns the pattern called [name], or null. */
    public fun find(name: String): Pattern? = all.find { it.name == name }

    private fun pattern(
        name: String,
        summary: String,
        vararg changes: Pair<Long, Change>
    ): Pattern = Pattern(name, summary, startsEmpty = false, changes.toList())
}
