package cactusfold.entry.residency

import cactusfold.decisions.places.HomeRegions

/**
 * What a request waits for: an upstream of [service] with [model] and, if not null, [adapter].
 *
 * @property softwareVersion the only version of which the upstream may be; null for any.
 * @property targetAtMillis by when the coordinator aims to have the model ready.
 * @property deadlineAtMillis how long the request waits.
 * @property arrivedAtMillis since when the caller waits; its age counts from then.
 * @property priority 0 is the most urgent.
 * @property tokens the request's work: prompt and maximum output tokens; 0 if not stated.
 * @property homes the regions in one of which the upstream has to be.
 */
public data class ModelNeed(
    public val service: String,
    public val model: String,
    public val adapter: String?,
    public val softwareVersion: String?,
    public val targetAtMillis: Long,
    public val deadlineAtMillis: Long,
    public val arrivedAtMillis: Long = targetAtMillis,
    public val priority: Int = 0,
    public val tokens: Long = 0,
    public val homes: HomeRegions = HomeRegions.ANY
)
