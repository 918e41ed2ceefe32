package cactusfold.node.launch

import cactusfold.decisions.store.CallBudget
import cactusfold.decisions.store.CircuitBreaker
import cactusfold.decisions.store.StorePurpose
import cactusfold.node.admin.AdminServer
import cactusfold.node.admin.ReadinessCheck
import cactusfold.node.config.ConfigManager
import cactusfold.node.events.EventRing
import cactusfold.node.events.HybridLogicalClock
import cactusfold.node.peer.PeerClients
import cactusfold.node.peer.PeerServer
import cactusfold.node.peer.PeerService
import cactusfold.node.peer.RoleService
import cactusfold.node.process.ProcessIdentity
import cactusfold.node.session.Role
import cactusfold.node.session.SelfDescription
import cactusfold.node.session.SessionManager
import cactusfold.node.time.MonotonicClock
import cactusfold.node.time.TimerService
import cactusfold.ports.http.PlatformHttp
import cactusfold.ports.objects.ObjectStore
import cactusfold.ports.objects.S3ObjectStore
import cactusfold.ports.table.DynamoDbTableStore
import cactusfold.ports.table.GuardedTable
import cactusfold.ports.table.TableStore
import cactusfold.ports.vms.HttpVmList
import cactusfold.ports.vms.VmList
import cactusfold.settings.schema.HostPort
import io.grpc.BindableService
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel

/** The components that routers and controllers share: creates, starts and stops them. */
public class NodeCore(
    public val settings: NodeSettings,
    public val role: Role,
    public val vertx: Vertx,
    public val clock: MonotonicClock = MonotonicClock.SYSTEM
) {
    /** The scope of all background work; it is cancelled when the process stops. */
    public val scope: CoroutineScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    /** Runs the periodic actions of the process. */
    public val timers: TimerService = TimerService(scope)

    /** The registry of the process's metrics. */
    public val metrics: PrometheusMeterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** The latest events of the process, for the timeline. */
    public val events: EventRing = EventRing(
        settings.name,
        settings.vm,
        HybridLogicalClock(System::currentTimeMillis),
        settings.eventsMax
    )

    private val eventLoops =
        MultiThreadIoEventLoopGroup(PEER_EVENT_LOOPS, NioIoHandler.newFactory())
    private val tableHttp = http(settings.platform.tableAddress)
    private val objectsHttp = http(settings.platform.objectsAddress)
    private val vmsHttp = http(settings.platform.vmsAddress)

    /** The platform's table, with a circuit breaker and this process's budget of calls. */
    public val guardedTable: GuardedTable = GuardedTable(
        DynamoDbTableStore(tableHttp, settings.platform.tableName),
        CircuitBreaker(CIRCUIT_FAILURES, CIRCUIT_OPEN_MILLIS),
        CallBudget(
            settings.platform.callsPerSecond.toDouble(),
            settings.platform.callsPerSecond.toDouble()
        ),
        clock::nowMillis
    )

    /** The object store. */
    public val objects: ObjectStore = S3ObjectStore(objectsHttp, settings.platform.bucket)

    /** The platform's list of VMs. */
    public val vms: VmList = HttpVmList(vmsHttp)

    /** Clients for calls to other processes. */
    public val peers: PeerClients = PeerClients(eventLoops)

    /** The session and shard leases of this process, and what it knows of others. */
    public val sessions: SessionManager = SessionManager(
        SelfDescription(
            settings.name,
            role,
            settings.zone,
            settings.address,
            settings.adminAddress,
            ProcessIdentity.current(settings.vm)
        ),
        if (role == Role.ROUTER) settings.routerLease else settings.lease,
        table(StorePurpose.RENEWAL),
        clock,
        timers,
        scope,
        events
    )

    /** The configuration in force. */
    public val config: ConfigManager = ConfigManager(
        table(StorePurpose.CONFIGURATION),
        peers,
        ::peerAddresses,
        clock,
        timers,
        scope,
        events
    )

    @Volatile
    private var isStopping = false

    /** The HTTP server for operators. */
    public val admin: AdminServer = AdminServer(
        vertx,
        settings.adminAddress,
        metrics,
        listOf(
            ReadinessCheck { "stopping".takeIf { isStopping } },
            ReadinessCheck { "no configuration yet".takeIf { config.current.version == 0L } },
            ReadinessCheck(::contactLossReason)
        )
    )

    private var peerServer: PeerServer? = null

    /** Returns the table for calls that serve [purpose]. */
    public fun table(purpose: StorePurpose): TableStore = guardedTable.forPurpose(purpose)

    /** Returns an HTTP client for [address] with the timeout of calls to the platform. */
    public fun http(address: HostPort): PlatformHttp =
        PlatformHttp(vertx, address.host, address.port, settings.platform.timeoutMillis)

    /** Starts all components, and serves [services] of the role besides the peer service. */
    public suspend fun start(roleService: RoleService, services: List<BindableService>) {
        val peerService = PeerService(config, events, roleService)
        peerServer = PeerServer(settings.address, eventLoops, services + peerService)
            .also { it.start() }
        registerGauges()
        config.start(settings.configPollMillis)
        sessions.start(settings.readEveryMillis)
        admin.start()
    }

    /** Makes `/readyz` report that the process is not ready, so that load balancers avoid it. */
    public fun beginStop() {
        isStopping = true
    }

    /** Releases the shard leases and stops all components. */
    public suspend fun stop() {
        isStopping = true
        sessions.stop()
        peerServer?.stop(STOP_GRACE_MILLIS)
        admin.stop()
        peers.close()
        scope.cancel()
        listOf(tableHttp, objectsHttp, vmsHttp).forEach { it.close() }
        eventLoops.shutdownGracefully()
    }

    /**
     * Stops all components at once without releasing shard leases, as a crash does. Used by tests
     * and benchmarks.
     */
    public suspend fun halt() {
        scope.cancel()
        peerServer?.stop(0)
        admin.stop()
        peers.close()
        listOf(tableHttp, objectsHttp, vmsHttp).forEach { it.close() }
        eventLoops.shutdownGracefully()
    }

    private fun registerGauges() {
        metrics.gauge("cactusfold.config.version", config) { it.current.version.toDouble() }
        metrics.gauge("cactusfold.store.up", guardedTable) { if (it.isUp) 1.0 else 0.0 }
        metrics.gauge("cactusfold.store.reads", guardedTable) { it.counts.reads.toDouble() }
        metrics.gauge("cactusfold.store.writes", guardedTable) { it.counts.writes.toDouble() }
        metrics.gauge("cactusfold.store.failures", guardedTable) { it.counts.failures.toDouble() }
        metrics.gauge("cactusfold.peer.calls", peers.traffic) { it.calls.toDouble() }
        metrics.gauge("cactusfold.peer.bytes", peers.traffic) { it.bytes.toDouble() }
        metrics.gauge("cactusfold.shards.held", sessions) { it.heldShards.size.toDouble() }
    }

    /** The other processes in the table, or those in the settings if the table names none. */
    private fun peerAddresses(): List<HostPort> = sessions.members
        .filter { it.session != sessions.session && !it.isLeaving }
        .map { it.address }
        .ifEmpty { settings.peers }

    /**
     * Whether neither the store nor a peer has confirmed the configuration recently. A request must
     * not be accepted then, because its API key may have been withdrawn in the meantime.
     */
    public val isCutOff: Boolean get() = contactLossReason() != null

    private fun contactLossReason(): String? {
        val ageMillis = config.contactAgeMillis() ?: return "no contact with store or peers yet"
        val limit = maxOf(MIN_CONTACT_AGE_MILLIS, 2 * config.periodMillis)
        return "cut off from store and peers for $ageMillis ms".takeIf { ageMillis > limit }
    }

    private companion object {
        const val PEER_EVENT_LOOPS = 1
        const val CIRCUIT_FAILURES = 5
        const val CIRCUIT_OPEN_MILLIS = 1_000L
        const val STOP_GRACE_MILLIS = 2_000L
        const val MIN_CONTACT_AGE_MILLIS = 5_000L
    }
}
