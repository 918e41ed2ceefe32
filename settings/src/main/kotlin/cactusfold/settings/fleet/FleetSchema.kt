package cactusfold.settings.fleet

import cactusfold.settings.schema.Schema
import cactusfold.settings.schema.ValueType
import cactusfold.settings.schema.schema

private const val MAX_TARGET_MILLIS = 3_600_000L
private const val MAX_BYTES = 1L shl 50
private const val MAX_SLOTS = 4_096L
private const val MAX_PORT = 65_535L

/** The schema of the operators' configuration document. */
public val fleetSchema: Schema = schema("configuration") {
    namedSection("class", "A class of work and how soon it must be answered.") {
        millis(
            "target_millis",
            1L..MAX_TARGET_MILLIS,
            "Time within which a request is answered or refused."
        )
    }
    namedSection("workspace", "A workspace (tenant) and its share of the fleet.") {
        key(
            "rate_tokens_per_second",
            ValueType.Decimal("tokens per second"),
            "Tokens that the workspace gains each second, over all VMs together."
        )
        key(
            "burst_tokens",
            ValueType.Decimal("tokens"),
            "Tokens that the workspace may use at once after a pause."
        )
        key(
            "share",
            ValueType.Decimal("shares"),
            "Weight against other workspaces when requests wait.",
            default = "1"
        )
        key("models", ValueType.Names, "Models that the workspace may use; * means all.", "*")
    }
    namedSection("key", "A caller's key. Issue it with `cactusfold key issue`.") {
        key("workspace", ValueType.Text, "The workspace that requests with the key run for.")
        key("sha256", ValueType.Sha256, "Digest of the key; the key itself is stored nowhere.")
    }
    namedSection("route", "Requests with a path prefix, and where they go.") {
        key("path_prefix", ValueType.Text, "Beginning of the request path, as in /bookings.")
        key("class", ValueType.Text, "The class of work.")
        key(
            "upstreams",
            ValueType.Names,
            "Plain services that may serve it, or `runners` for model requests."
        )
        flag("repeatable", "Whether a request may be run more than once.", true)
        flag("open", "Whether the route needs no key.", false)
        millis(
            "duplicate_window_millis",
            0L..MAX_TARGET_MILLIS,
            "How long equal requests without an idempotency key count as one.",
            60_000
        )
        whole("cost_tokens", "tokens", 0L..1_000_000L, "Charge of a request to a plain service.", 1)
    }
    namedSection("model", "A model, or an adapter of a base model.") {
        whole("memory_bytes", "bytes", 1L..MAX_BYTES, "Accelerator memory of one replica.")
        key("base", ValueType.Text, "Base model, for an adapter.", optional = true)
        key("class", ValueType.Text, "Class of work, in place of the route's.", optional = true)
        key(
            "on_disk",
            ValueType.Names,
            "Runners that have the checkpoint on their disks; others load it remotely.",
            optional = true
        )
    }
    namedSection("upstream", "A model engine or a plain service.") {
        key("kind", ValueType.OneOf(setOf("runner", "service")), "What it is.")
        key("host", ValueType.Text, "Its numeric address.")
        whole("port", "port numbers", 1L..MAX_PORT, "Its port.")
        key("zone", ValueType.Text, "Its availability zone.")
        whole("memory_bytes", "bytes", 0L..MAX_BYTES, "Accelerator memory of a runner.", 0)
        whole("kv_reserve_bytes", "bytes", 0L..MAX_BYTES, "Memory kept for its KV cache.", 0)
        whole("slots", "requests", 1L..MAX_SLOTS, "Requests that it serves at once.", 8)
        flag("checks_fence", "Whether it refuses orders with an old fence.", false)
        key("cell", ValueType.Text, "Placement cell of a runner.", "default")
    }
}
