package cactusfold.decisions.suspect

/**
 * Bounds of [PromptBlockTracker].
 *
 * @property retentionMillis how long a block is blamed after its last crash, the first time; twice
 *   as long each further time.
 * @property knownSoundRetentionMillis the same for blocks that were part of complete answers once.
 * @property maxRetentionMillis the longest blame, and how long a past one is remembered.
 * @property clearanceMillis a completion clears a block of crashes up to this time after it.
 * @property momentMillis crashes closer together than this may have one cause and count once.
 * @property minMoments number of moments at which a block that was never completed is blamed.
 * @property minMomentsKnownSound the same for a block that was completed once.
 */
public data class PromptBlockSettings(
    public val retentionMillis: Long = 60_000,
    public val knownSoundRetentionMillis: Long = 15_000,
    public val maxRetentionMillis: Long = 3_600_000,
    public val clearanceMillis: Long = 2_000,
    public val momentMillis: Long = 500,
    public val minMoments: Int = 2,
    public val minMomentsKnownSound: Int = 4,
    public val maxCrashes: Int = 128,
    public val maxBlocksPerCrash: Int = 256,
    public val maxCompletedBlocks: Int = 4_096
)
