package cactusfold.entry

import cactusfold.decisions.rate.ColdBounds
import cactusfold.entry.process.ConnectionShares
import cactusfold.entry.rate.RateTolerance
import cactusfold.settings.schema.HostPort
import cactusfold.settings.schema.Problem
import cactusfold.settings.schema.Schema
import cactusfold.settings.schema.Settings
import cactusfold.settings.schema.SettingsResult
import cactusfold.settings.schema.ValueType
import cactusfold.settings.schema.readSettings
import cactusfold.settings.schema.schema

/**
 * Bounds that the platform's operators guarantee to their users.
 *
 * @property stopMillis time from the stop signal to the exit of the process.
 * @property keyWithdrawalMillis maximum time that a withdrawn key is still accepted.
 * @property orderQuietMillis minimum time between the orders of two successive lease
 *   holders to one runner.
 * @property retryRatio maximum retries as a share of all requests, over all VMs.
 * @property retrySlack retries allowed in addition to the ratio, over all VMs.
 * @property rateTolerance by how much a workspace may exceed its rate.
 * @property loadWindowMillis window over which loads from the weight store are counted.
 * @property cold how many requests a cold upstream may get.
 * @property evacuateMillis time after which nothing is sent to an evacuated zone.
 */
public data class EntryBounds(
    public val stopMillis: Long,
    public val keyWithdrawalMillis: Long,
    public val orderQuietMillis: Long,
    public val retryRatio: Double,
    public val retryWindowMillis: Long,
    public val retrySlack: Double,
    public val rateTolerance: RateTolerance,
    public val loadWindowMillis: Long,
    public val cold: ColdBounds = ColdBounds(),
    public val evacuateMillis: Long = 5_000
)

/**
 * Settings of an entry process.
 *
 * @property passingPort where other entry processes pass requests on to this one.
 * @property cores processing capacity of the VM, in cores of the usual speed.
 * @property connections how many connections callers may have.
 * @property regionsByZone the region of each availability zone; another zone has none.
 */
public data class EntrySettings(
    public val vm: String,
    public val address: String,
    public val zone: String,
    public val peerPort: Int,
    public val metricsPort: Int,
    public val passingPort: Int,
    public val callers: HostPort,
    public val ready: HostPort,
    public val store: HostPort,
    public val bounds: EntryBounds,
    public val cores: Double = 1.0,
    public val connections: ConnectionShares = ConnectionShares(descriptors = 1_024),
    public val regionsByZone: Map<String, String> = emptyMap()
)

private const val MILLIS_PER_SECOND = 1_000
private val PORTS = 1L..65_535L

/** For the peers' calls, for requests that they pass on, and for metrics. */
private const val INNER_PORTS = 3
private val TOO_FEW_PORTS = Problem(
    null,
    "last-inner-port in [vm] must be at least first-inner-port + ${INNER_PORTS - 1}"
)
private val MILLIS = 1L..3_600_000L
private val DESCRIPTORS = 256L..1_000_000L

/** Schema of the settings of an entry process. */
public val entrySchema: Schema = schema("Settings of cactusfold-entry") {
    section("vm", "The VM that the process runs on.") {
        key("name", ValueType.Text, "name of the VM")
        key("address", ValueType.Text, "numeric address of the VM")
        key("zone", ValueType.Text, "availability zone of the VM")
        key("core-share", ValueType.Decimal("cores"), "share of a core that the VM gets", "1")
        key("core-speed", ValueType.Decimal("times"), "speed of that core, 1 is usual", "1")
        defaulted(
            "descriptors",
            ValueType.Whole(DESCRIPTORS.first, DESCRIPTORS.last, "descriptors"),
            "files and sockets that the process may have open",
            "1024"
        )
        whole(
            "first-inner-port",
            "ports",
            PORTS,
            "port for the other entry processes, which pass requests on to the next one"
        )
        whole("last-inner-port", "ports", PORTS, "port that serves metrics at /metrics")
    }
    section("listen", "Addresses that are served.") {
        key("callers", ValueType.Address, "callers' requests")
        key("ready", ValueType.Address, "the balancer's question whether the process is ready")
    }
    section("store", "The platform's store.") {
        key("address", ValueType.Address, "address of the store")
    }
    section("bounds", "Bounds to keep.") {
        key("stop-seconds", ValueType.Decimal("seconds"), "time to stop in", "8")
        millis("key-withdrawal-millis", MILLIS, "how long a withdrawn key may work", 5_000)
        millis("order-quiet-millis", MILLIS, "time between the orders of two holders", 3_000)
        key("retry-ratio", ValueType.Decimal("requests"), "share sent again, fleet-wide", "0.2")
        key("retry-window-seconds", ValueType.Decimal("seconds"), "window of the ratio", "10")
        key("retry-slack", ValueType.Decimal("requests"), "sent again beyond the ratio", "100")
        key("rate-window-seconds", ValueType.Decimal("seconds"), "window of the rates", "8")
        key("rate-tolerance-share", ValueType.Decimal("share"), "over the rate, in a window", "0.1")
        key("rate-tolerance-tokens", ValueType.Decimal("tokens"), "over the rate beside it", "1000")
        key("load-window-seconds", ValueType.Decimal("seconds"), "window of store loads", "5")
        defaulted(
            "cold-overage",
            ValueType.Decimal("times"),
            "the rate of a cold upstream that it may get in a second",
            "1.5"
        )
        defaulted(
            "cold-slack",
            ValueType.Decimal("requests"),
            "requests that it may get beyond that",
            "5"
        )
        defaulted(
            "evacuate-millis",
            ValueType.Whole(MILLIS.first, MILLIS.last, "milliseconds"),
            "how long an evacuated zone may still get requests",
            "5000"
        )
    }
    mapSection("regions", ValueType.Text, "The region of each availability zone, by its name.")
    section("log", "Log lines on standard output.") {
        key(
            "level",
            ValueType.OneOf(setOf("debug", "info", "warn", "error")),
            "least level",
            "info"
        )
        whole("lines-per-second", "lines", 1L..1_000_000L, "most lines of one kind a second", 50)
    }
}

/** Parses and validates [text] as the settings of an entry process. */
public fun readEntrySettings(text: String): SettingsResult {
    val read = readSettings(entrySchema, text)
    if (read !is SettingsResult.Valid) return read
    val vm = read.settings.section("vm")
    val ports = vm.int("last-inner-port") - vm.int("first-inner-port") + 1
    return if (ports >= INNER_PORTS) read else SettingsResult.Invalid(listOf(TOO_FEW_PORTS))
}

/** Converts validated [settings] to [EntrySettings]. */
public fun entrySettings(settings: Settings): EntrySettings {
    val vm = settings.section("vm")
    val listen = settings.section("listen")
    val bounds = settings.section("bounds")
    return EntrySettings(
        vm = vm.text("name"),
        address = vm.text("address"),
        zone = vm.text("zone"),
        peerPort = vm.int("first-inner-port"),
        metricsPort = vm.int("last-inner-port"),
        passingPort = vm.int("first-inner-port") + 1,
        callers = listen.address("callers"),
        ready = listen.address("ready"),
        store = settings.section("store").address("address"),
        bounds = EntryBounds(
            stopMillis = millisOf(bounds.double("stop-seconds")),
            keyWithdrawalMillis = bounds.long("key-withdrawal-millis"),
            orderQuietMillis = bounds.long("order-quiet-millis"),
            retryRatio = bounds.double("retry-ratio"),
            retryWindowMillis = millisOf(bounds.double("retry-window-seconds")),
            retrySlack = bounds.double("retry-slack"),
            rateTolerance = RateTolerance(
                millisOf(bounds.double("rate-window-seconds")),
                bounds.double("rate-tolerance-share"),
                bounds.double("rate-tolerance-tokens")
            ),
            loadWindowMillis = millisOf(bounds.double("load-window-seconds")),
            cold = ColdBounds(bounds.double("cold-overage"), bounds.double("cold-slack")),
            evacuateMillis = bounds.long("evacuate-millis")
        ),
        cores = vm.double("core-share") * vm.double("core-speed"),
        connections = ConnectionShares(vm.int("descriptors")),
        regionsByZone = settings.section("regions").all
    )
}

private fun millisOf(seconds: Double): Long = (seconds * MILLIS_PER_SECOND).toLong()
