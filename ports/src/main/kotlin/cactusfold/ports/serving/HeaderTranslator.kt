package cactusfold.ports.serving

import io.vertx.core.MultiMap

/**
 * What a caller's request says in its headers.
 *
 * @property requestTimeoutMillis how long the caller waits; null when it does not say.
 * @property promptTokens and [outputTokens] null when the request states no tokens.
 * @property promptPrefixId the first part of the prompt, which other requests share; null when none.
 */
public data class RequestMetadata(
    public val id: String?,
    public val key: String?,
    public val requestTimeoutMillis: Long?,
    public val model: String?,
    public val adapter: String?,
    public val promptTokens: Long?,
    public val outputTokens: Long?,
    public val promptPrefixId: String?,
    public val lastEventId: String?
)

/** What the system adds to a request that it sends to an upstream. */
public data class UpstreamRequestMetadata(
    public val upstream: String,
    public val workspace: String?,
    public val requestTimeoutMillis: Long,
    public val urgency: Int,
    public val lastEventId: String?
)

/** What an upstream's answer says in its headers. */
public data class ResponseMetadata(
    public val id: String?,
    public val isSealed: Boolean,
    public val wasNotExecuted: Boolean,
    public val load: ReportedLoad?
)

/** The load that an upstream reports with an answer. */
public data class ReportedLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int
)

/** Translates headers between callers, the system and upstreams. */
public interface HeaderTranslator {
    /** Reads a caller's request. */
    public fun call(headers: MultiMap): RequestMetadata

    /** Returns the headers to send to an upstream, from those of the caller. */
    public fun towardsUpstream(headers: MultiMap, facts: UpstreamRequestMetadata): MultiMap

    /** Reads an upstream's answer. */
    public fun answer(status: Int, headers: MultiMap): ResponseMetadata

    /** Returns the headers to send to the caller, from those of the upstream. */
    public fun towardsCaller(headers: MultiMap): MultiMap

    /** Returns the headers of an answer of the system's own. */
    public fun refusal(id: String?, retryAfterMillis: Long?): MultiMap
}
