package cactusfold.ports.serving

import cactusfold.decisions.residency.ModelCost
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf

/** How often a request may be executed. */
public enum class Repeatability {
    /** Any number of times. */
    IDEMPOTENT,

    /** At most once. */
    AT_MOST_ONCE,

    /** An event stream that is executed at most once. */
    STREAM_ONCE,

    /** An event stream that another upstream may resume after the last event received. */
    STREAM_RESUMABLE
}

/** A service of a route with its relative share of the route's requests. */
public data class WeightedService(public val service: String, public val weight: Double)

/**
 * A route of the operator's configuration: matches requests by host and path prefix.
 *
 * @property timeoutMillis maximum timeout of a request, even if its caller states a longer one.
 * @property targetMillis target latency until the first byte of the response.
 * @property patienceMillis time after which callers abandon a stream if its first or next event
 *   does not arrive; null for routes without streams, where only the timeout of the request
 *   applies.
 * @property maxAttempts maximum number of executions of one request, each on some upstream.
 * @property priority 0 is the most urgent.
 * @property allowsAnonymous whether requests are served without an API key.
 * @property homeRegions the only regions whose upstreams may get the requests; empty for any.
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
    public val allowsAnonymous: Boolean,
    public val homeRegions: ImmutableSet<String> = persistentSetOf()
) {
    /** Whether a request may be retried after an upstream may have executed it. */
    public val mayRunAgain: Boolean
        get() = when (repeatability) {
            Repeatability.IDEMPOTENT, Repeatability.STREAM_RESUMABLE -> true
            Repeatability.AT_MOST_ONCE, Repeatability.STREAM_ONCE -> false
        }

    /** The services that get a share of the requests; a single one gets all, whatever its weight. */
    public val effectiveServices: List<WeightedService>
        get() = services.takeIf { it.size == 1 } ?: services.filter { it.weight > 0 }

    /** Whether the response is an event stream. */
    public val isStream: Boolean
        get() = when (repeatability) {
            Repeatability.STREAM_ONCE, Repeatability.STREAM_RESUMABLE -> true
            Repeatability.IDEMPOTENT, Repeatability.AT_MOST_ONCE -> false
        }
}

/**
 * Capacity of each runner of a service, and the models that they may load.
 *
 * @property slots requests that one runner processes concurrently.
 * @property weightMegabytes memory of one runner for models and adapters.
 * @property adapterSlots adapters that one runner can have loaded.
 * @property storeLoadsPerSecond maximum rate at which loads from the weight store start, over all
 *   runners; null if it is unlimited.
 * @property memoryTokens tokens of requests in progress that fit into the memory of one runner;
 *   null if it is not stated.
 */
public data class EngineSpec(
    public val slots: Int,
    public val weightMegabytes: Double,
    public val adapterSlots: Int,
    public val storeLoadsPerSecond: Double?,
    public val models: ImmutableMap<String, ModelCost>,
    public val memoryTokens: Long? = null
)

/**
 * A group of upstreams.
 *
 * @property engine null for a plain service.
 * @property coldStartMillis how long an upstream is cold after it starts; 0 if none ever is.
 * @property coldRequestsPerSecond requests that a cold upstream tolerates from all VMs together;
 *   null if the service has no cold upstreams.
 */
public data class ServiceSpec(
    public val name: String,
    public val engine: EngineSpec?,
    public val coldStartMillis: Long = 0,
    public val coldRequestsPerSecond: Double? = null
)

/**
 * A workspace with its API keys and its rate limit.
 *
 * @property priority overrides the priority of the route; null if the route's applies.
 * @property isRateInTokens whether rate and burst count tokens rather than requests.
 * @property defaultRequestTokens tokens charged for a request that does not state its tokens.
 * @property ratePerSecond null if the workspace is not rate-limited.
 * @property burst tokens or requests that may be spent at once.
 * @property homeRegions the only regions whose upstreams may get the requests; empty for any.
 */
public data class ServingWorkspace(
    public val name: String,
    public val keys: ImmutableList<String>,
    public val priority: Int?,
    public val isRateInTokens: Boolean,
    public val defaultRequestTokens: Long,
    public val ratePerSecond: Double?,
    public val burst: Double,
    public val homeRegions: ImmutableSet<String> = persistentSetOf()
) {
    /** Returns what a request that states [tokens], or null, takes of the workspace's rate. */
    public fun costOf(tokens: Long?): Long =
        if (isRateInTokens) tokens ?: defaultRequestTokens else 1
}

/** Size limits and timeouts for the connections and requests of callers. */
public data class CallerLimits(
    public val headerMaxBytes: Int,
    public val bodyMaxBytes: Int,
    public val headerTimeoutMillis: Long,
    public val idleTimeoutMillis: Long
)

/** A complete version of the operator's configuration. */
public data class ServingConfig(
    public val version: Long,
    public val routes: ImmutableList<ServingRoute>,
    public val services: ImmutableMap<String, ServiceSpec>,
    public val workspaces: ImmutableList<ServingWorkspace>,
    public val limits: CallerLimits
) {
    /**
     * Whether routes that do not allow anonymous requests require an API key: not before a
     * workspace is configured.
     */
    public val isAuthenticationEnabled: Boolean get() = workspaces.isNotEmpty()
}

/** The result of decoding a document that another party wrote. */
public sealed interface Decoded<out A> {
    /** The document is well-formed. */
    public data class Valid<A>(public val value: A) : Decoded<A>

    /** The document is malformed, for the given [reason]. */
    public data class Invalid(public val reason: String) : Decoded<Nothing>
}
