package cactusfold.entry.callers

import cactusfold.entry.config.RouteTable
import cactusfold.entry.process.EventLog
import cactusfold.entry.rate.Allowances
import cactusfold.entry.residency.ModelWaits
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.RequestMetadata
import cactusfold.ports.serving.HeaderTranslator
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod

/** A caller's request, read whole. */
public class CallerRequest(
    public val method: HttpMethod,
    public val uri: String,
    public val path: String,
    public val host: String,
    public val headers: MultiMap,
    public val body: Buffer,
    public val facts: RequestMetadata,
    public val arrivedAtMillis: Long
)

/** What requests are served with. */
public class FlowParts(
    public val table: () -> RouteTable?,
    public val isConfigFresh: () -> Boolean,
    public val directory: UpstreamDirectory,
    public val waits: ModelWaits,
    public val allowances: Allowances,
    public val suspects: SharedSuspects,
    public val sender: UpstreamSender,
    public val translator: HeaderTranslator,
    public val retries: RetryBook,
    public val clock: MonotonicClock,
    public val events: EventLog
)

/** How a request ended. */
public sealed interface FlowEnd {
    /** Its answer, or the end of its stream, has come from an upstream. */
    public class Answered(public val answer: SendEnd.Whole?) : FlowEnd

    /** The system answers it. */
    public class Own(public val answer: OwnAnswer) : FlowEnd

    /** A stream that has begun can't be completed. */
    public class Cut(public val reason: String) : FlowEnd
}
