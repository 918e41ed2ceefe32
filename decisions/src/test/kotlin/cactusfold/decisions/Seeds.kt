package cactusfold.decisions

import kotlin.random.Random

/** Seeds of randomised runs: fixed ones, or `-Dcactusfold.seeds=FIRST..LAST` for long runs. */
object Seeds {
    private const val DEFAULT_COUNT = 60

    val all: IntRange by lazy {
        val text = System.getProperty("cactusfold.seeds")?.takeIf { it.isNotBlank() }
        if (text == null) {
            1..DEFAULT_COUNT
        } else {
            text.substringBefore("..").toInt()..text.substringAfter("..").toInt()
        }
    }

    /** Runs [run] for each seed; a failure names the seed that reproduces it. */
    fun each(run: (Random) -> Unit) {
        for (seed in all) {
            try {
                run(Random(seed))
            } catch (e: Throwable) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
    }
}
