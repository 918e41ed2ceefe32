package cactusfold.ports.serving

import cactusfold.decisions.routing.PromptBlock
import io.vertx.core.MultiMap
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * Metadata from the headers of a caller's request. A field is null if its header is missing or does
 * not contain it.
 *
 * @property key API key of the caller.
 * @property requestTimeoutMillis time for which the caller waits for the response.
 * @property promptTokens number of prompt tokens as stated by the caller.
 * @property outputTokens number of output tokens as stated by the caller.
 * @property promptPrefixId identifies the first block of the prompt, which other requests may
 *   share.
 * @property sharedBlocks ids of all blocks of the prompt that other requests may share: all but the
 *   last, which belongs to the request or its session.
 * @property lastEventId last event that the caller received of a stream that it resumes.
 * @property resumedId id of the request that brought the first event of a stream that the caller
 *   resumes.
 * @property cacheableBlocks the blocks of the prompt, from its beginning, that an engine may have in
 *   its prefix cache: those that may be shared, or the only one. A block has no tokens if their
 *   number is not stated.
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
    public val sharedBlocks: ImmutableList<String>,
    public val lastEventId: String?,
    public val resumedId: String? = null,
    public val cacheableBlocks: ImmutableList<PromptBlock> = persistentListOf()
)

/**
 * Metadata that the system adds to a request that it sends to an upstream.
 *
 * @property upstream id of the upstream for which the request is meant; others must not run it.
 * @property requestTimeoutMillis time left until the deadline of the request.
 * @property urgency priority of the request; 0 is the most urgent.
 * @property lastEventId last event that the caller received; the upstream resumes the stream after
 *   it.
 */
public data class UpstreamRequestMetadata(
    public val upstream: String,
    public val workspace: String?,
    public val requestTimeoutMillis: Long,
    public val urgency: Int,
    public val lastEventId: String?
)

/**
 * Metadata from the status and headers of an upstream's response.
 *
 * @property id id of the request that was answered, so that a mix-up is detected; null if missing.
 * @property isSealed whether the upstream's seal is present, without which a successful response is
 *   not accepted.
 * @property wasNotExecuted whether the upstream guarantees that it did not run the request.
 * @property load null if the response does not report it.
 * @property isLeaving whether the upstream is shutting down and takes no new requests soon.
 * @property pauseMillis how long the upstream asks to be sent no further requests; null if it does
 *   not ask.
 * @property limit the rate that the upstream accepts from all VMs together.
 * @property isEventStream whether the body is one of events; also if its type is not stated.
 * @property coldMillis how long the upstream stays cold, zero if it is warm; null if the response
 *   does not state it.
 * @property brittle how many requests per second the upstream can turn away, over all VMs, before it
 *   falls over; null if another upstream may have answered.
 */
public data class ResponseMetadata(
    public val id: String?,
    public val isSealed: Boolean,
    public val wasNotExecuted: Boolean,
    public val load: ReportedLoad?,
    public val isLeaving: Boolean = false,
    public val pauseMillis: Long? = null,
    public val limit: StatedLimit = StatedLimit.None,
    public val isEventStream: Boolean = true,
    public val coldMillis: Long? = null,
    public val brittle: StatedLimit? = null
)

/**
 * The load that an upstream reports with a response.
 *
 * @property running requests being processed.
 * @property waiting requests in the queue.
 * @property slots requests that the upstream processes concurrently.
 * @property slowdownPercent how long work takes there at this moment, as a percentage of the usual
 *   time; null if it is not stated.
 */
public data class ReportedLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val slowdownPercent: Double? = null
)

/** Translates between the headers of callers and upstreams and the metadata of requests. */
public interface HeaderTranslator {
    /** The header in which an upstream's response names the request that it answers. */
    public val requestIdHeader: String

    /**
     * The header by which a peer states that it did not run a request that was passed on to it, and
     * why. It is not forwarded to callers.
     */
    public val passRefusalHeader: String

    /** Headers that identify or authorise a caller's request, which may have one value each. */
    public val singleHeaders: Set<String>

    /**
     * Returns the headers of a caller's request to pass it on to a peer, which has
     * [requestTimeoutMillis] for it; [vm] is the VM that passes it on.
     */
    public fun towardsPeer(headers: MultiMap, vm: String, requestTimeoutMillis: Long): MultiMap

    /** Returns the VM that states that it passed a request on; null if none does. */
    public fun passedBy(headers: MultiMap): String?

    /** Decodes the headers of a caller's request. */
    public fun call(headers: MultiMap): RequestMetadata

    /** Returns the headers to send to an upstream: those of the caller and [facts]. */
    public fun towardsUpstream(headers: MultiMap, facts: UpstreamRequestMetadata): MultiMap

    /** Decodes the status and headers of an upstream's response. */
    public fun answer(status: Int, headers: MultiMap): ResponseMetadata

    /** Returns the headers to send to the caller, given those of the upstream's response. */
    public fun towardsCaller(headers: MultiMap): MultiMap

    /**
     * Returns the headers of a response that the system itself generates to refuse request [id].
     */
    public fun refusal(id: String?, retryAfterMillis: Long?): MultiMap
}
