package cactusfold.node.events

/** A significant decision of this process, recorded for the timeline that operators query. */
public sealed class NodeEvent(
    public val kind: String,
    public val detail: String,
    public val requestId: String = "",
    public val model: String = "",
    public val workspace: String = ""
) {
    /** This process took the lease of a shard. */
    public class LeaseTaken(shard: String, fence: Long) :
        NodeEvent("lease-taken", "shard=$shard fence=$fence")

    /** This process no longer holds the lease of a shard. */
    public class LeaseLost(shard: String, fence: Long) :
        NodeEvent("lease-lost", "shard=$shard fence=$fence")

    /** A configuration version came into force. */
    public class ConfigInForce(version: Long) : NodeEvent("config-in-force", "version=$version")

    /** An order is being sent to a runner. */
    public class OrderSent(kind: String, model: String, runner: String, order: String) :
        NodeEvent("order-sent", "kind=$kind runner=$runner order=$order", model = model)

    /** The set of replicas of a model changed. */
    public class PlacementChanged(model: String, replicas: Int) :
        NodeEvent("placement-changed", "replicas=$replicas", model = model)

    /** A request was admitted: its tokens were taken from the quota of its workspace. */
    public class Admitted(requestId: String, workspace: String, model: String, tokens: Long) :
        NodeEvent("admitted", "tokens=$tokens", requestId, model, workspace)

    /** A request was queued until an upstream is available. */
    public class Queued(requestId: String, workspace: String, model: String, waiting: Int) :
        NodeEvent("queued", "waiting=$waiting", requestId, model, workspace)

    /** A request was dispatched to an upstream. */
    public class Dispatched(requestId: String, workspace: String, model: String, upstream: String) :
        NodeEvent("dispatched", "upstream=$upstream", requestId, model, workspace)

    /** The response to a request is complete. */
    public class Answered(
        requestId: String,
        workspace: String,
        model: String,
        status: Int,
        millis: Long
    ) : NodeEvent("answered", "status=$status took_millis=$millis", requestId, model, workspace)

    /** A request was refused. */
    public class Refused(
        requestId: String,
        workspace: String,
        model: String,
        code: String,
        run: String
    ) : NodeEvent("refused", "code=$code run=$run", requestId, model, workspace)

    /** The idempotency claim of a non-repeatable request changed. */
    public class Claim(requestId: String, workspace: String, step: String) :
        NodeEvent("claim", "step=$step", requestId, workspace = workspace)

    /** An upstream was excluded from dispatch for a while. */
    public class UpstreamExcluded(upstream: String, reason: String) :
        NodeEvent("upstream-aside", "upstream=$upstream reason=$reason")

    /** An in-flight request was cancelled because its API key was withdrawn. */
    public class KeyWithdrawn(requestId: String, workspace: String, keyId: String) :
        NodeEvent("key-withdrawn", "key=$keyId", requestId, workspace = workspace)
}
