package cactusfold.ports.serving

import cactusfold.decisions.residency.ModelCost
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap

/** How often a request may run. */
public enum class Repeatability {
    /** Any number of times. */
    IDEMPOTENT,

    /** At most once. */
    AT_MOST_ONCE,

    /** An event stream that runs at most once. */
    STREAM_ONCE,

    /** An event stream that may go on at another upstream after the last event received. */
    STREAM_RESUMABLE
}

/** A service that a route may use, with its share of the requests. */
public data class WeightedService(public val service: String, public val weight: Double)

/**
 * One route of the operator's configuration.
 *
 * @property timeoutMillis the longest time that a caller is kept waiting.
 * @property targetMillis how soon an answer should begin.
 * @property patienceMillis how long a caller waits for the first or next piece of an answer; null
 *   when it waits as long as it says.
 * @property maxAttempts upstreams that may run one request.
 * @property priority urgency; 0 is the most urgent.
 */
public data class ServingRoute(
    public val name: String,
    public val host: String,
    public val prefix: String,
    public val repeatability: Repeatability,
    public val services: ImmutableList<WeightedService>,
    public val timeoutMillis: Long,
    public val targetMillis: Long,
    public val patienceMillis: Long?,
    public val maxAttempts: Int,
    public val priority: Int,
    public val allowsAnonymous: Boolean
) {
    /** Whether a request may be sent again after it may have run. */
    public val mayRunAgain: Boolean
        get() = when (repeatability) {
            Repeatability.IDEMPOTENT, Repeatability.STREAM_RESUMABLE -> true
            Repeatability.AT_MOST_ONCE, Repeatability.STREAM_ONCE -> false
        }

    /** Whether the answer is an event stream. */
    public val isStream: Boolean
        get() = when (repeatability) {
            Repeatability.STREAM_ONCE, Repeatability.STREAM_RESUMABLE -> true
            Repeatability.IDEMPOTENT, Repeatability.AT_MOST_ONCE -> false
        }
}

/**
 * What the runners of a service have in common.
 *
 * @property slots requests that one runner processes at once.
 * @property storeLoadsPerSecond loads from the weight store that may begin, over all runners; null
 *   when there is no limit.
 */
public data class EngineSpec(
    public val slots: Int,
    public val weightMegabytes: Double,
    public val adapterSlots: Int,
    public val storeLoadsPerSecond: Double?,
    public val models: ImmutableMap<String, ModelCost>
)

/** A group of upstreams; [engine] is null for a plain service. */
public data class ServiceSpec(public val name: String, public val engine: EngineSpec?)

/**
 * A workspace.
 *
 * @property priority urgency that goes before the route's; null when the route's holds.
 * @property isRateInTokens whether the rate is in tokens rather than in requests.
 * @property defaultRequestTokens what a request without a token count counts for.
 * @property ratePerSecond null when the workspace has no limit.
 */
public data class ServingWorkspace(
    public val name: String,
    public val keys: ImmutableList<String>,
    public val priority: Int?,
    public val isRateInTokens: Boolean,
    public val defaultRequestTokens: Long,
    public val ratePerSecond: Double?,
    public val burst: Double
)

/** Bounds on what a caller may send. */
public data class CallerLimits(
    public val headerMaxBytes: Int,
    public val bodyMaxBytes: Int,
    public val headerTimeoutMillis: Long,
    public val idleTimeoutMillis: Long
)

/** A version of the operator's configuration, whole. */
public data class ServingConfig(
    public val version: Long,
    public val routes: ImmutableList<ServingRoute>,
    public val services: ImmutableMap<String, ServiceSpec>,
    public val workspaces: ImmutableList<ServingWorkspace>,
    public val limits: CallerLimits
) {
    /** Whether callers have to show a key on routes that need one. */
    public val isAuthenticationEnabled: Boolean get() = workspaces.isNotEmpty()
}

/** The outcome of decoding something that another party wrote. */
public sealed interface Decoded<out A> {
    /** It is well-formed. */
    public data class Valid<A>(public val value: A) : Decoded<A>

    /** It can't be used. */
    public data class Invalid(public val reason: String) : Decoded<Nothing>
}
