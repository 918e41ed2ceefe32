package cactusfold.entry

import cactusfold.decisions.holding.CoordinatorLeaseMachine
import cactusfold.decisions.holding.CoordinatorLeaseSettings
import cactusfold.entry.callers.CallerMeters
import cactusfold.entry.callers.CallerServer
import cactusfold.entry.callers.FlowParts
import cactusfold.entry.callers.RetryBook
import cactusfold.entry.callers.SharedSuspects
import cactusfold.entry.callers.UpstreamSender
import cactusfold.entry.config.ConfigWatch
import cactusfold.entry.config.RouteTable
import cactusfold.entry.fleet.CoordinatorParts
import cactusfold.entry.fleet.FleetCoordinator
import cactusfold.entry.fleet.HoldKeeper
import cactusfold.entry.fleet.MemberLink
import cactusfold.entry.fleet.MemberRow
import cactusfold.entry.process.EventLog
import cactusfold.entry.process.StatusServer
import cactusfold.entry.process.StopWindow
import cactusfold.entry.rate.Allowances
import cactusfold.entry.rate.FleetRates
import cactusfold.entry.residency.DeskContext
import cactusfold.entry.residency.FleetDemand
import cactusfold.entry.residency.LoadCoordinator
import cactusfold.entry.residency.ModelWaits
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.node.peer.PeerClients
import cactusfold.node.peer.PeerServer
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.HttpRunnerApi
import cactusfold.platform.HttpTableStore
import cactusfold.platform.WireHeaders
import cactusfold.ports.http.HttpTarget
import cactusfold.ports.http.PlatformHttp
import cactusfold.ports.serving.OrderAuthority
import cactusfold.ports.serving.ServingConfig
import cactusfold.protocol.entry.FleetNotice
import cactusfold.protocol.entry.Holdings
import cactusfold.protocol.entry.MemberReport
import cactusfold.protocol.entry.RunnerUse
import cactusfold.protocol.entry.StoredHold
import cactusfold.protocol.entry.StoredMember
import cactusfold.settings.schema.HostPort
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.internal.VertxInternal
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager

/**
 * One entry process: callers' requests, and the coordination of the fleet whenever it holds the
 * lease. All of it runs on one event loop, so its state needs no locks.
 */
public class EntryProcess(
    private val settings: EntrySettings,
    private val vertx: Vertx,
    dispatcher: CoroutineDispatcher,
    private val clock: MonotonicClock,
    boot: String,
    linesPerSecond: Int
) {
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val loops = (vertx as VertxInternal).nettyEventLoopGroup()
    private val events = EventLog(settings.vm, clock, linesPerSecond)
    private val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val bounds = settings.bounds
    private val peerAddress = HostPort(settings.address, settings.peerPort)

    private val store = HttpTableStore(
        httpWithin(STORE_MILLIS)
    )
    private val orders = HttpRunnerApi(
        httpWithin(ORDER_MILLIS)
    )

    private var table: RouteTable? = null
    private val config =
        ConfigWatch(store, clock, events, bounds.keyWithdrawalMillis, ::configured)
    private val directory: UpstreamDirectory =
        UpstreamDirectory(store, clock, events, settings.zone, ::upstreamPollMillis)
    private val member = StoredMember.newBuilder().setVm(settings.vm).setBoot(boot)
        .setAddress(peerAddress.toString()).setZone(settings.zone).build()
    private val hold = HoldKeeper(
        store,
        CoordinatorLeaseMachine(CoordinatorLeaseSettings(HOLD_MILLIS, bounds.orderQuietMillis, HOLD_MARGIN_MILLIS)),
        clock,
        events,
        StoredHold.newBuilder().setVm(settings.vm).setBoot(boot)
            .setAddress(peerAddress.toString()).build(),
        RENEW_MILLIS
    ) { link.isLinked }
    private val peers = PeerClients(loops)
    private val waits = ModelWaits(directory, clock) { link.wake() }
    private val suspects = SharedSuspects(clock) { link.wake() }
    private val demand = FleetDemand()
    private val rates = FleetRates(clock, bounds.rateTolerance) { table }
    private val loads = LoadCoordinator(
        scope,
        directory,
        demand,
        DeskContext(orders, clock, events, { OrderAuthority(settings.vm, hold.fence) }) {
            hold.mayAct
        },
        bounds.loadWindowMillis
    ) { table }
    private val coordinator =
        FleetCoordinator(
            CoordinatorParts(hold, directory, loads, demand, rates, clock, events),
            store,
            dispatcher
        )
    private val link: MemberLink =
        MemberLink(hold, peers, clock, events, ::report, ::noticed).also { it.own = coordinator }
    private val allowances: Allowances =
        Allowances(settings.vm, boot, clock, { link.memberCount }) { link.ask(it) }
    private val peerServer = PeerServer(peerAddress, loops, listOf(coordinator))
    private val callers = CallerServer(
        vertx,
        settings.callers,
        scope,
        FlowParts(
            table = { table },
            isConfigFresh = { config.isFresh(clock.nowMillis()) },
            directory = directory,
            waits = waits,
            allowances = allowances,
            suspects = suspects,
            sender = UpstreamSender(vertx, WireHeaders, clock),
            translator = WireHeaders,
            retries = RetryBook(bounds, clock) { link.memberCount },
            clock = clock,
            events = events
        ),
        WireHeaders,
        CallerMeters(metrics),
        events
    )
    private val status = StatusServer(vertx, metrics, ::unreadyReason)
    private var isStopping = false

    private fun httpWithin(timeoutMillis: Long): PlatformHttp = PlatformHttp(
        vertx,
        HttpTarget(settings.store.host, settings.store.port),
        timeoutMillis,
        closesOnTimeout = true
    )

    /** Whether a coordinator has told how many members there are, so that shares can be spent. */
    public val knowsMembers: Boolean get() = link.memberCount != null

    /** Listens for the other entry processes. Blocks, so it must not be called on the event loop. */
    public fun listen(): Unit = peerServer.start()

    /** Starts; callers are taken once the configuration is known. */
    public suspend fun start() {
        events.write("process-start", "zone" to settings.zone, "peer" to peerAddress.toString())
        coordinator.onOwnNotice = ::noticed
        directory.listen(coordinator::upstreamsChanged)
        registerGauges()
        always("configuration") { config.run() }
        always("upstreams") { directory.run() }
        always("silent upstreams") { directory.watchSilence() }
        always("lease") { hold.run() }
        always("coordinator") { coordinator.run() }
        always("link") { link.run() }
        scope.launch {
            MemberRow(store, member).register()
            allowances.isRegistered = true
        }
        status.start(settings.ready, HostPort(settings.address, settings.metricsPort))
        while (config.current == null) delay(START_CHECK_MILLIS)
        callers.start(config.current!!.limits)
        events.write("process-serving", "config" to config.current?.version)
    }

    private fun registerGauges() {
        metrics.gauge("cactusfold.requests.running", callers) { it.running.toDouble() }
        metrics.gauge("cactusfold.requests.waiting.for.model", waits) { it.count.toDouble() }
        metrics.gauge("cactusfold.coordinator", hold) { if (it.isCoordinator) 1.0 else 0.0 }
        metrics.gauge("cactusfold.log.lines.dropped", events) { it.droppedLines.toDouble() }
        metrics.gauge("cactusfold.config.age.millis", config) {
            it.ageMillis(clock.nowMillis())?.toDouble() ?: Double.NaN
        }
    }

    /** Finishes what runs, as far as the time to stop in allows, and leaves. */
    public suspend fun stop() {
        if (isStopping) return
        isStopping = true
        val began = clock.nowMillis()
        events.write("process-stopping", "running" to callers.running)
        callers.isLeaving = true
        scope.launch { hold.release() }
        delay(BALANCER_MILLIS)
        callers.isClosed = true
        val waitMillis = StopWindow.waitMillis(bounds.stopMillis)
        while (callers.running > 0 && clock.nowMillis() - began < waitMillis) {
            delay(STOP_CHECK_MILLIS)
        }
        events.write("process-stopped", "running" to callers.running)
        callers.stop()
        scope.coroutineContext[Job]?.cancel()
        peerServer.stop(0)
        peers.close()
    }

    /** Takes note that the settings were read anew; addresses hold until the next start. */
    public fun reloaded(problem: String?) {
        events.write("settings-reloaded", "problem" to problem)
    }

    /** Runs [part] for as long as the process lives; a fault in it is logged and it begins anew. */
    private fun always(name: String, part: suspend () -> Unit) {
        scope.launch {
            while (true) {
                try {
                    part()
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    log.error("{} failed and begins anew", name, e)
                }
                delay(RESTART_MILLIS)
            }
        }
    }

    private fun configured(next: ServingConfig) {
        table = RouteTable(next)
        rates.configured()
    }

    /** The coordinator tells the others of upstreams that leave, so they may read less often. */
    private fun upstreamPollMillis(): Long = when {
        hold.isCoordinator -> COORDINATOR_POLL_MILLIS
        link.isLinked -> LINKED_POLL_MILLIS
        else -> LONE_POLL_MILLIS
    }

    private fun unreadyReason(): String? = when {
        isStopping -> "stopping"
        table == null -> "no configuration yet"
        !directory.isKnown -> "no upstreams known yet"
        !config.isFresh(clock.nowMillis()) -> "the configuration may be out of date"
        else -> null
    }

    private fun report(): MemberReport {
        val uses = directory.usable.flatMap { upstream ->
            upstream.uses.map { (use, count) ->
                RunnerUse.newBuilder().setRunner(upstream.entry.id).setModel(use.model)
                    .setAdapter(use.adapter.orEmpty()).setInFlight(count).build()
            }
        }
        return MemberReport.newBuilder()
            .setVm(settings.vm)
            .setBoot(member.boot)
            .addAllDemands(waits.takeDemands())
            .addAllUses(uses)
            .addAllSuspects(suspects.takeUnsent())
            .addAllUnreachable(directory.down())
            .build()
    }

    private fun noticed(notice: FleetNotice) {
        if (notice.holdingsCount > 0) {
            notice.holdingsList.forEach(::held)
            directory.changed()
        }
        notice.leavingList.forEach { directory.find(it)?.isLeaving = true }
        notice.forecastsList.forEach(waits::forecast)
        notice.suspectsList.forEach(suspects::reported)
        allowances.heard()
    }

    private fun held(holdings: Holdings) {
        val models = holdings.modelsList.associate { it.model to it.adaptersList.toImmutableSet() }
        directory.find(holdings.runner)?.holds(models.toImmutableMap(), clock.nowMillis())
    }

    private companion object {
        /** Time limit of a call to the store: many times its usual answer of some milliseconds. */
        const val STORE_MILLIS = 1_000L

        /** Time limit of an order or report: runners answer within milliseconds. */
        const val ORDER_MILLIS = 500L

        /** How long the coordinator may act after a renewal, and how often it renews. */
        const val HOLD_MILLIS = 2_000L
        const val RENEW_MILLIS = 700L
        const val HOLD_MARGIN_MILLIS = 250L

        /** Pauses between two readings of the upstreams; a lone process has to see by itself. */
        const val COORDINATOR_POLL_MILLIS = 400L
        const val LINKED_POLL_MILLIS = 2_400L
        const val LONE_POLL_MILLIS = 800L

        /** The balancer asks once a second and takes a process out after two misses. */
        const val BALANCER_MILLIS = 2_800L

        const val STOP_CHECK_MILLIS = 20L
        const val START_CHECK_MILLIS = 10L

        /** Pause before a part that failed begins anew. */
        const val RESTART_MILLIS = 200L
        val log = LogManager.getLogger(EntryProcess::class.java)
    }
}
