package cactusfold.decisions.routing

/** A block of a prompt, of [tokens] tokens, that an engine may keep in its prefix cache. */
public data class PromptBlock(public val id: String, public val tokens: Long)

/** The blocks of a prompt from its beginning up to one that may be cached, [tokens] in all. */
public data class PromptChain(public val key: String, public val tokens: Long)

/**
 * What one request requires of a model engine.
 *
 * @property promptTokens tokens to read, less those in the prefix cache.
 * @property outputTokens maximum number of tokens to generate.
 * @property chains beginnings of the prompt that may be cached, the shortest first. An engine that
 *   has a chain in its cache has the shorter ones, too.
 */
public data class RequestWork(
    public val promptTokens: Long,
    public val outputTokens: Long,
    public val chains: List<PromptChain>
) {
    /** Tokens that the request holds in the memory of its engine when it ends. */
    public val tokens: Long get() = promptTokens + outputTokens

    public companion object {
        /**
         * Returns the work of a request that states [promptTokens] and [outputTokens], or null
         * where it does not, and the [blocks] of its prompt that may be cached. Only requests with
         * the same [scope], a model and its adapter, can use each other's blocks.
         */
        public fun of(
            scope: String,
            promptTokens: Long?,
            outputTokens: Long?,
            blocks: List<PromptBlock>
        ): RequestWork {
            val blockTokens = blocks.sumOf { it.tokens }
            return RequestWork(
                (promptTokens ?: maxOf(DEFAULT_PROMPT_TOKENS, blockTokens)).coerceAtLeast(0),
                (outputTokens ?: DEFAULT_OUTPUT_TOKENS).coerceAtLeast(0),
                chainsOf(scope, blocks)
            )
        }

        private fun chainsOf(scope: String, blocks: List<PromptBlock>): List<PromptChain> {
            val chains = blocks
                .runningFold(PromptChain(scope, 0)) { chain, block ->
                    PromptChain("${chain.key}/${block.id}", chain.tokens + block.tokens)
                }
                .drop(1)
            if (chains.size <= MAX_CHAINS) return chains
            return chains.take(MAX_CHAINS - 1) + chains.last()
        }

        private const val DEFAULT_PROMPT_TOKENS = 512L
        private const val DEFAULT_OUTPUT_TOKENS = 64L

        /** Chains of one request that are told apart, which bounds the cost of a choice. */
        private const val MAX_CHAINS = 4
    }
}
