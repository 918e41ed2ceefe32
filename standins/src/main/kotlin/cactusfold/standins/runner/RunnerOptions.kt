package cactusfold.standins.runner

/**
 * How a runner stand-in behaves.
 *
 * @property memoryBytes accelerator memory; a load that does not fit fails and is counted.
 * @property slots requests batched at once; more wait.
 * @property tokenMillis time between two tokens of one request.
 * @property promptTokensPerMilli speed of reading a prompt that is not in the prefix cache.
 * @property reportLagMillis how old the reported load is.
 * @property crashMarker a request whose prompt holds this word crashes the runner.
 */
public data class RunnerOptions(
    public val name: String,
    public val port: Int,
    public val memoryBytes: Long,
    public val slots: Int = 8,
    public val checksFence: Boolean = false,
    public val onDisk: Set<String> = emptySet(),
    public val diskBytesPerSecond: Long = 4_000_000_000,
    public val tokenMillis: Long = 5,
    public val promptTokensPerMilli: Int = 50,
    public val prefixCacheEntries: Int = 256,
    public val reportLagMillis: Long = 200,
    public val crashMarker: String = "CRASH-THE-RUNNER",
    public val restartMillis: Long = 1_000
)
