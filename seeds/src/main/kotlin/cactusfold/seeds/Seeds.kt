package cactusfold.seeds

import kotlin.random.Random

/** Seeds of randomized tests: a default range, or those of `-Dcactusfold.seeds=FIRST..LAST`. */
public object Seeds {
    private const val DEFAULT_COUNT = 60

    /** Returns the requested seeds, or 1 to [defaultCount] if none are requested. */
    public fun range(defaultCount: Int = DEFAULT_COUNT): IntRange {
        val text = System.getProperty("cactusfold.seeds")?.takeIf { it.isNotBlank() }
            ?: return 1..defaultCount
        return text.substringBefore("..").toInt()..text.substringAfter("..").toInt()
    }

    /** Calls [run] for each seed; a failure message contains the seed that reproduces it. */
    public fun each(run: (Random) -> Unit) {
        for (seed in range()) {
            try {
                run(Random(seed))
            } catch (e: Throwable) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
    }
}
