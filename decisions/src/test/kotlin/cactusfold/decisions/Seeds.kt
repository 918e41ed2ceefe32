package cactusfold.decisions

import kotlin.random.Random

/** Seeds of randomized tests: 1 to 60, or those of `-Dcactusfold.seeds=FIRST..LAST`. */
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

    /** Calls [run] for each seed; a failure message contains the seed that reproduces it. */
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
