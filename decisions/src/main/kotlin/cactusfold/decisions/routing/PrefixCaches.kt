package cactusfold.decisions.routing

import cactusfold.decisions.Rendezvous
import kotlin.math.ceil
import kotlin.math.exp

/**
 * Estimates which runners have the beginning of a prompt in their prefix caches, from how often
 * this process receives it. Each chain of blocks has a small set of holders by rendezvous hashing,
 * on which all VMs agree; it grows with the chain's rate, so that a popular block does not direct
 * all requests to the same runners. A chain that is popular enough is in the caches of all.
 */
public class PrefixCaches {
    private class Rate(var perSecond: Double, var atMillis: Long)

    private val rates = object : LinkedHashMap<String, Rate>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Rate>): Boolean = size > MAX_CHAINS
    }

    /** Counts a request with [work]. */
    public fun record(work: RequestWork, nowMillis: Long) {
        for (chain in work.chains) {
            val rate = rates.getOrPut(chain.key) { Rate(0.0, nowMillis) }
            rate.perSecond = decayed(rate, nowMillis) + MILLIS_PER_SECOND / KEPT_MILLIS
            rate.atMillis = nowMillis
        }
    }

    /**
     * Returns what [runners] probably have cached of the prompt of [work].
     *
     * @param vmCount VMs that receive requests with the same prompts as this one.
     */
    public fun locate(
        work: RequestWork,
        runners: List<String>,
        vmCount: Int,
        nowMillis: Long
    ): CachedPrefixes {
        if (work.chains.isEmpty() || runners.isEmpty()) return CachedPrefixes.NONE
        val located = work.chains.map { chain ->
            val perSecond = (rates[chain.key]?.let { decayed(it, nowMillis) } ?: 0.0) * vmCount
            val holderCount = maxOf(MIN_HOLDERS, ceil(perSecond / MAX_HOLDER_PER_SECOND).toInt())
            val holders = if (holderCount >= runners.size) {
                runners.toSet()
            } else {
                Rendezvous.ranked(chain.key, runners, holderCount).toSet()
            }
            val perRunner = perSecond * KEPT_MILLIS / MILLIS_PER_SECOND / runners.size
            CachedPrefixes.Located(chain.tokens, holders, CACHED * (1 - exp(-perRunner)))
        }
        return CachedPrefixes(located, CACHED)
    }

    private fun decayed(rate: Rate, nowMillis: Long): Double =
        rate.perSecond * exp(-(nowMillis - rate.atMillis) / KEPT_MILLIS)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /**
         * Time for which an engine is assumed to keep an unused prefix. Its memory holds some
         * 90,000 tokens, of which it reads a few thousand anew per second under load.
         */
        const val KEPT_MILLIS = 15_000.0

        /** A second holder, so that a prefix is found cached if the first one is busy. */
        const val MIN_HOLDERS = 2

        /** Above this rate a holder would be busy with one chain, so that it gets more holders. */
        const val MAX_HOLDER_PER_SECOND = 1.0

        /** Probability that a holder still has a chain. */
        const val CACHED = 0.9

        /** Bound on the chains that are remembered; those longest unused are forgotten. */
        const val MAX_CHAINS = 2_000
    }
}

/** The runners that probably have the chains of one prompt in their caches. */
public class CachedPrefixes internal constructor(
    private val located: List<Located>,
    private val heldProbability: Double
) {
    internal class Located(
        val tokens: Long,
        val holders: Set<String>,
        val elsewhereProbability: Double
    )

    /** The holders of the longest chain. */
    public val holders: Set<String> get() = located.lastOrNull()?.holders.orEmpty()

    /** Returns the expected number of tokens that [runner] need not read. */
    public fun tokensAt(runner: String): Double {
        var probability = 0.0
        var tokens = 0.0
        for (i in located.indices.reversed()) {
            val chain = located[i]
            val isHolder = runner in chain.holders
            probability =
                maxOf(probability, if (isHolder) heldProbability else chain.elsewhereProbability)
            tokens += (chain.tokens - if (i > 0) located[i - 1].tokens else 0) * probability
        }
        return tokens
    }

    internal companion object {
        val NONE = CachedPrefixes(emptyList(), 0.0)
    }
}
