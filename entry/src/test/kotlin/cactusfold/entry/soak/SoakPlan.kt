package cactusfold.entry.soak

import cactusfold.entry.path.PlatformFixture
import io.vertx.core.json.JsonObject
import kotlin.random.Random

/** Planned work on an entry process. */
sealed interface PlannedWork {
    data object Terminate : PlannedWork
    data object Hangup : PlannedWork

    /** A change of the configuration; a rate of zero means no limit. */
    data class Configure(
        val version: Int,
        val routes: Int,
        val keys: Int,
        val ratePerSecond: Int,
        val idleTimeoutMillis: Int
    ) : PlannedWork {
        fun write(platform: PlatformFixture) {
            platform.operator.limits = JsonObject().put("idle-timeout-ms", idleTimeoutMillis)
            platform.operator.addedRoutes = (1..routes).map { "/added-$it/" }
            platform.operator.configure(version, (1..keys).map { "key-$it" }, ratePerSecond)
        }
    }
}

/** A [limit] that a runner states in its answers from a time on; null if it states none. */
data class LimitChange(val atMillis: Long, val runner: String, val limit: String?)

/** A crash of a [runner], which returns with [version]. */
data class Restart(val atMillis: Long, val runner: String, val version: String)

/**
 * A time from [fromMillis] on in which a [runner] repeats refusals on connections that it keeps.
 */
data class RepeatedRefusals(val fromMillis: Long, val untilMillis: Long, val runner: String)

/** Whether another entry process runs beside, and which of them coordinates. */
enum class Beside { NONE, COORDINATES, FOLLOWS }

/** All that is random about one run, derived from [seed]. */
class SoakPlan(val seed: Int) {
    private val random = Random(seed)
    val stopMillis: Long = random.nextLong(4_000, 8_001)
    val beside: Beside = Beside.entries.random(random)
    val loadMillis: Long = random.nextLong(100, 1_501)
    val callers: List<Random> = List(random.nextInt(8, 17)) { Random(random.nextLong()) }

    /** Time from the first request to the first SIGTERM. */
    val leadMillis: Long = random.nextLong(500, 2_001)
    val initial: PlannedWork.Configure = configure(1, routes = 0)

    /** Planned work, with its time in milliseconds after the first SIGTERM. */
    val work: List<Pair<Long, PlannedWork>> =
        (draw() + drawSeries(Random(seed + SERIES_SEEDS))).sortedBy { it.first }

    /**
     * Limits that runners state, with times as in [work]. They have draws of their own, so that the
     * other work of a seed does not depend on them.
     */
    val limits: List<LimitChange> = drawLimits(Random(seed + LIMIT_SEEDS)).sortedBy { it.atMillis }

    /** Crashes of engines, with times as in [work], and with draws of their own. */
    val restarts: List<Restart> = drawRestarts(Random(seed + RESTART_SEEDS)).sortedBy {
        it.atMillis
    }

    /** As [restarts]. */
    val refusals: List<RepeatedRefusals> = drawRefusals(Random(seed + REFUSAL_SEEDS))

    /** As [restarts]. */
    val foreign: ForeignFaults =
        ForeignFaults(Random(seed + FOREIGN_SEEDS), -leadMillis, stopMillis)

    /** As [restarts]. */
    val copies: CopyPlan = CopyPlan(Random(seed + COPY_SEEDS))

    /** When a caller leaves its streams, with draws of its own. */
    fun leaving(caller: Int): Random = Random(seed + LEAVING_SEEDS + caller)

    private fun drawRestarts(random: Random): List<Restart> = buildList {
        repeat(random.nextInt(MAX_RESTARTS + 1)) {
            val atMillis = random.nextLong(-leadMillis, stopMillis)
            // Half of them are followed by another at once, perhaps the last of a version.
            for (i in 0..random.nextInt(2)) {
                add(Restart(atMillis + i, "i-${random.nextInt(1, 4)}", VERSIONS.random(random)))
            }
        }
    }

    private fun drawRefusals(random: Random): List<RepeatedRefusals> =
        listOf("d-2", "d-3", "i-2", "i-3").filter { random.nextInt(4) == 0 }.map {
            val fromMillis = random.nextLong(-leadMillis, stopMillis)
            RepeatedRefusals(fromMillis, fromMillis + random.nextLong(200, 2_001), it)
        }

    private fun drawLimits(random: Random): List<LimitChange> = buildList {
        for (runner in listOf("d-1", "d-2", "i-1", "i-2")) {
            if (random.nextInt(3) > 0) continue
            add(LimitChange(-leadMillis, runner, LIMITS.random(random)))
            repeat(random.nextInt(3)) {
                val atMillis = random.nextLong(-leadMillis, stopMillis)
                add(LimitChange(atMillis, runner, (LIMITS + null).random(random)))
            }
        }
    }

    private fun draw(): List<Pair<Long, PlannedWork>> = buildList {
        add(0L to PlannedWork.Terminate)
        repeat(random.nextInt(3)) { add(random.nextLong(1, stopMillis) to PlannedWork.Terminate) }
        repeat(random.nextInt(4)) { add(anyTime() to PlannedWork.Hangup) }
        val changes = List(random.nextInt(5)) { anyTime() }.sorted()
        changes.forEachIndexed { i, at -> add(at to configure(i + 2, routes = i + 1)) }
    }

    /** Signals that come close to each other, with draws of their own. */
    private fun drawSeries(random: Random): List<Pair<Long, PlannedWork>> = buildList {
        repeat(random.nextInt(3)) {
            val fromMillis = random.nextLong(-leadMillis, stopMillis)
            repeat(random.nextInt(2, 6)) {
                val atMillis = fromMillis + random.nextLong(SERIES_MILLIS)
                val isStop = atMillis > 0 && random.nextBoolean()
                add(atMillis to if (isStop) PlannedWork.Terminate else PlannedWork.Hangup)
            }
        }
    }

    private fun anyTime(): Long = random.nextLong(-leadMillis, stopMillis)

    private fun configure(version: Int, routes: Int) = PlannedWork.Configure(
        version,
        routes,
        keys = random.nextInt(1, 4),
        ratePerSecond = if (version == 1) 0 else listOf(0, 300, 100_000).random(random),
        idleTimeoutMillis = listOf(1_000, 2_500, 60_000).random(random)
    )

    override fun toString(): String = "stopMillis=$stopMillis beside=$beside " +
        "loadMillis=$loadMillis callers=${callers.size} leadMillis=$leadMillis initial=$initial " +
        "work=$work limits=$limits restarts=$restarts refusals=$refusals " +
        "foreign=($foreign) copies=($copies)"

    companion object {
        /** The software versions of the engines, in the order in which they start. */
        val VERSIONS = listOf("v1", "v2")
        private const val MAX_RESTARTS = 4
        private const val LIMIT_SEEDS = 1_000_000
        private const val RESTART_SEEDS = 2_000_000
        private const val REFUSAL_SEEDS = 3_000_000
        private const val LEAVING_SEEDS = 4_000_000
        private const val FOREIGN_SEEDS = 5_000_000
        private const val COPY_SEEDS = 6_000_000
        private const val SERIES_SEEDS = 7_000_000
        private const val SERIES_MILLIS = 300L
        private val LIMITS = listOf("0", "0.5", "1", "4", "20", "1, 30", "none")
    }
}
