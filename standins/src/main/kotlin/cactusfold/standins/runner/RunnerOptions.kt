package cactusfold.standins.runner

/**
 * Configuration of a runner stand-in.
 *
 * @property memoryBytes accelerator memory; a load that does not fit is rejected and counted.
 * @property slots maximum number of requests processed concurrently; further requests wait.
 * @property checksFence whether orders with a stale fencing token are rejected.
 * @property tokenMillis time between two tokens of a response.
 * @property promptTokensPerMilli prefill speed for a prompt that is not in the prefix cache.
 * @property reportLagMillis age of the reported numbers of running and waiting requests.
 * @property crashMarker text that makes the runner crash when a prompt contains it.
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
