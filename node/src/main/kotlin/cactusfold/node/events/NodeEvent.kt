package cactusfold.node.events

/** A decision that counts, for the time line. */
public sealed class NodeEvent(
    public val kind: String,
    public val detail: String,
    public val requestId: String = "",
    public val model: String = "",
    public val workspace: String = ""
) {
    /** A shard is held from now on. */
    public class LeaseTaken(shard: String, fence: Long) :
        NodeEvent("lease-taken", "shard=$shard fence=$fence")

    /** A shard is not held any more. */
    public class LeaseLost(shard: String, fence: Long) :
        NodeEvent("lease-lost", "shard=$shard fence=$fence")

    /** A configuration is in force. */
    public class ConfigInForce(version: Long) : NodeEvent("config-in-force", "version=$version")

    /** An order went to a runner. */
    public class OrderSent(kind: String, model: String, runner: String, order: String) :
        NodeEvent("order-sent", "kind=$kind runner=$runner order=$order", model = model)

    /** The replicas of a model changed. */
    public class PlacementChanged(model: String, replicas: Int) :
        NodeEvent("placement-changed", "replicas=$replicas", model = model)

    /** A request has its workspace's tokens. */
    public class Admitted(requestId: String, workspace: String, model: String, tokens: Long) :
        NodeEvent("admitted", "tokens=$tokens", requestId, model, workspace)

    /** A request waits for an upstream. */
    public class Queued(requestId: String, workspace: String, model: String, waiting: Int) :
        NodeEvent("queued", "waiting=$waiting", requestId, model, workspace)

    /** A request went to an upstream. */
    public class Dispatched(requestId: String, workspace: String, model: String, upstream: String) :
        NodeEvent("dispatched", "upstream=$upstream", requestId, model, workspace)

    /** A request has its whole answer. */
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

    /** A claim on a non-repeatable request changed. */
    public class Claim(requestId: String, workspace: String, step: String) :
        NodeEvent("claim", "step=$step", requestId, workspace = workspace)

    /** An upstream gets no work for a while. */
    public class UpstreamExcluded(upstream: String, reason: String) :
        NodeEvent("upstream-aside", "upstream=$upstream reason=$reason")

    /** A running request was cut because its key was withdrawn. */
    public class KeyWithdrawn(requestId: String, workspace: String, keyId: String) :
        NodeEvent("key-withdrawn", "key=$keyId", requestId, workspace = workspace)
}
