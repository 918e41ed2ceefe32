package cactusfold.node.launch

import cactusfold.decisions.lease.LeaseSettings
import cactusfold.node.process.LogFormat
import cactusfold.settings.schema.HostPort
import cactusfold.settings.schema.SchemaBuilder
import cactusfold.settings.schema.Settings
import cactusfold.settings.schema.ValueType

private const val HOUR_MILLIS = 3_600_000L
private const val ROUTER_RENEWALS_PER_TTL = 3

/** Adds the sections of the settings that all daemons share. */
public fun SchemaBuilder.nodeSections() {
    section("node", "Who this process is.") {
        key("name", ValueType.Text, "Name of the process, unique in the fleet.")
        key("vm", ValueType.Text, "Name of the VM, as in the platform's list.")
        key("zone", ValueType.Text, "Availability zone of the VM.")
        key("address", ValueType.Address, "Where other processes reach this one.")
        key("admin_address", ValueType.Address, "Where operators reach it.", "127.0.0.1:9100")
        key("peers", ValueType.Names, "Processes to ask when the store is down at start.", "")
        whole("events_max", "events", 0L..1_000_000L, "Events kept for the time line.", 20_000)
    }
    section("platform", "The platform's services.") {
        key("table_address", ValueType.Address, "Address of the table service.")
        key("table_name", ValueType.Text, "Name of the table.", "cactusfold")
        key("objects_address", ValueType.Address, "Address of the object store.")
        key("bucket", ValueType.Text, "Bucket in the object store.", "cactusfold")
        key("vms_address", ValueType.Address, "Address of the list of VMs.")
        millis("timeout_millis", 10L..60_000L, "Time limit of one call.", 1_000)
        whole("calls_per_second", "calls", 1L..2_000L, "Table calls a second at most.", 200)
    }
    section("lease", "Leases of sessions and shards.") {
        millis("ttl_millis", 500L..HOUR_MILLIS, "How long a holder may act without renewal.", 6_000)
        millis("skew_millis", 0L..HOUR_MILLIS, "What a taker waits beyond that.", 1_000)
        millis("renew_every_millis", 100L..HOUR_MILLIS, "Period of renewals.", 2_000)
        millis(
            "router_ttl_millis",
            1_500L..HOUR_MILLIS,
            "The same for routers, which hold nothing that others wait for.",
            180_000
        )
        millis("read_every_millis", 100L..HOUR_MILLIS, "Period of reading the table.", 1_000)
        millis("config_poll_millis", 100L..10_000L, "Period of polling the configuration.", 1_000)
    }
    section("log", "Logging, to standard error.") {
        key("format", ValueType.OneOf(setOf("plain", "json")), "Form of the lines.", "plain")
        key(
            "level",
            ValueType.OneOf(setOf("error", "warn", "info", "debug")),
            "Lowest level that is written.",
            "info"
        )
    }
}

/** Settings that all daemons share. */
public data class NodeSettings(
    public val name: String,
    public val vm: String,
    public val zone: String,
    public val address: HostPort,
    public val adminAddress: HostPort,
    public val peers: List<HostPort>,
    public val eventsMax: Int,
    public val platform: PlatformSettings,
    public val lease: LeaseSettings,
    public val routerLease: LeaseSettings,
    public val readEveryMillis: Long,
    public val configPollMillis: Long
) {
    public companion object {
        /** Reads the sections that [nodeSections] declares. */
        public fun of(settings: Settings): NodeSettings {
            val node = settings.section("node")
            val lease = settings.section("lease")
            return NodeSettings(
                node.text("name"),
                node.text("vm"),
                node.text("zone"),
                node.address("address"),
                node.address("admin_address"),
                node.names("peers").map(HostPort::parse),
                node.int("events_max"),
                PlatformSettings.of(settings),
                LeaseSettings(
                    lease.long("ttl_millis"),
                    lease.long("skew_millis"),
                    lease.long("renew_every_millis")
                ),
                LeaseSettings(
                    lease.long("router_ttl_millis"),
                    lease.long("skew_millis"),
                    lease.long("router_ttl_millis") / ROUTER_RENEWALS_PER_TTL
                ),
                lease.long("read_every_millis"),
                lease.long("config_poll_millis")
            )
        }
    }
}

/** Addresses of the platform's services, and limits on calls to them. */
public data class PlatformSettings(
    public val tableAddress: HostPort,
    public val tableName: String,
    public val objectsAddress: HostPort,
    public val bucket: String,
    public val vmsAddress: HostPort,
    public val timeoutMillis: Long,
    public val callsPerSecond: Long
) {
    public companion object {
        /** Reads the section `[platform]`. */
        public fun of(settings: Settings): PlatformSettings {
            val platform = settings.section("platform")
            return PlatformSettings(
                platform.address("table_address"),
                platform.text("table_name"),
                platform.address("objects_address"),
                platform.text("bucket"),
                platform.address("vms_address"),
                platform.long("timeout_millis"),
                platform.long("calls_per_second")
            )
        }
    }
}

/** Returns the log format in [settings]. */
public fun logFormatOf(settings: Settings): LogFormat =
    if (settings.section("log").text("format") == "json") LogFormat.JSON else LogFormat.PLAIN
