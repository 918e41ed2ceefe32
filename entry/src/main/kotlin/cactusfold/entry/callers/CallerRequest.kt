package cactusfold.entry.callers

import cactusfold.entry.config.RouteTable
import cactusfold.entry.passing.PassingDependencies
import cactusfold.entry.process.EventLog
import cactusfold.entry.queueing.RequestQueues
import cactusfold.entry.rate.UpstreamRateLimiter
import cactusfold.entry.rate.WorkspaceRateLimiter
import cactusfold.entry.residency.ModelWaitQueue
import cactusfold.entry.streams.StreamBindings
import cactusfold.entry.upstream.ServiceReach
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.HeaderTranslator
import cactusfold.ports.serving.RequestMetadata
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod

/**
 * A caller's request with its body fully received.
 *
 * @property passedBy the VM that passed it on to this process; null if the caller sent it here.
 */
public class CallerRequest(
    public val method: HttpMethod,
    public val uri: String,
    public val path: String,
    public val host: String,
    public val headers: MultiMap,
    public val body: Buffer,
    public val facts: RequestMetadata,
    public val arrivedAtMillis: Long,
    public val passedBy: String? = null
)

/** Collaborators of [RequestFlow] that are shared by all requests. */
public class RequestFlowDependencies(
    public val table: () -> RouteTable?,
    public val isConfigFresh: () -> Boolean,
    public val directory: UpstreamDirectory,
    public val waits: ModelWaitQueue,
    public val rateLimiter: WorkspaceRateLimiter,
    public val sendLimiter: UpstreamRateLimiter,
    public val suspects: SharedSuspects,
    public val promptBlocks: SharedPromptBlocks,
    public val crashes: CrashDetector,
    public val sender: UpstreamSender,
    public val translator: HeaderTranslator,
    public val retries: RetryBudgets,
    public val clock: MonotonicClock,
    public val events: EventLog,
    public val meters: CallerMeters,
    public val streams: StreamBindings,
    public val queues: RequestQueues,
    public val reach: ServiceReach,
    public val passing: PassingDependencies
)

/** How the processing of a request ended. */
public sealed interface RequestOutcome {
    /** An upstream has answered; [answer] is null when the answer was streamed to the caller. */
    public class Answered(public val answer: SendEnd.Whole?) : RequestOutcome

    /** This process answers the request itself with an error. */
    public class Failed(public val answer: ErrorAnswer) : RequestOutcome

    /** A stream that has begun cannot be completed, so the connection is reset. */
    public class Aborted(public val reason: String) : RequestOutcome
}
