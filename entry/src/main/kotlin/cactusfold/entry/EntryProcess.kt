package cactusfold.entry

import cactusfold.decisions.fleet.ReadPace
import cactusfold.decisions.holding.CoordinatorLeaseMachine
import cactusfold.decisions.holding.CoordinatorLeaseSettings
import cactusfold.decisions.rate.UpstreamStart
import cactusfold.entry.callers.AnswerBodies
import cactusfold.entry.callers.CallerMeters
import cactusfold.entry.callers.CallerServer
import cactusfold.entry.callers.ConfiguredLimits
import cactusfold.entry.callers.CrashDetector
import cactusfold.entry.callers.HeldStreams
import cactusfold.entry.callers.RequestFlowDependencies
import cactusfold.entry.callers.RetryBudgets
import cactusfold.entry.callers.SharedPromptBlocks
import cactusfold.entry.callers.SharedSuspects
import cactusfold.entry.callers.UpstreamProbe
import cactusfold.entry.callers.UpstreamSender
import cactusfold.entry.config.ConfigWatcher
import cactusfold.entry.config.RouteTable
import cactusfold.entry.fleet.Abilities
import cactusfold.entry.fleet.CoordinatorClient
import cactusfold.entry.fleet.CoordinatorDependencies
import cactusfold.entry.fleet.CoordinatorLeaseManager
import cactusfold.entry.fleet.CoordinatorPace
import cactusfold.entry.fleet.FleetCoordinator
import cactusfold.entry.fleet.FleetMeters
import cactusfold.entry.fleet.MemberMessages
import cactusfold.entry.fleet.MemberRegistration
import cactusfold.entry.passing.PassingDependencies
import cactusfold.entry.passing.PeerChoice
import cactusfold.entry.passing.PeerDirectory
import cactusfold.entry.passing.PeerSender
import cactusfold.entry.places.EvacuationStatus
import cactusfold.entry.places.ZoneEvacuations
import cactusfold.entry.process.BuildInfo
import cactusfold.entry.process.CountingStore
import cactusfold.entry.process.EntryLogging
import cactusfold.entry.process.EventLog
import cactusfold.entry.process.MemoryShares
import cactusfold.entry.process.ShutdownBudget
import cactusfold.entry.process.StatusServer
import cactusfold.entry.process.StoreCallReason
import cactusfold.entry.process.StoredRows
import cactusfold.entry.process.TaskSupervisor
import cactusfold.entry.queueing.RequestQueues
import cactusfold.entry.rate.FleetLimits
import cactusfold.entry.rate.FleetTokenBuckets
import cactusfold.entry.rate.GrantMember
import cactusfold.entry.rate.RateSubject
import cactusfold.entry.rate.UpstreamRateLimiter
import cactusfold.entry.rate.WorkspaceRateLimiter
import cactusfold.entry.residency.FleetDemand
import cactusfold.entry.residency.LoadCoordinator
import cactusfold.entry.residency.LoadMeters
import cactusfold.entry.residency.ModelWaitQueue
import cactusfold.entry.residency.OrderDependencies
import cactusfold.entry.streams.FleetStreams
import cactusfold.entry.streams.OwnStreams
import cactusfold.entry.streams.RecordedVersions
import cactusfold.entry.streams.ResumableServices
import cactusfold.entry.streams.StartCheck
import cactusfold.entry.streams.StreamBindings
import cactusfold.entry.streams.StreamLookup
import cactusfold.entry.streams.StreamTables
import cactusfold.entry.upstream.ColdReports
import cactusfold.entry.upstream.ServiceReach
import cactusfold.entry.upstream.Upstream
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.entry.upstream.UpstreamEligibility
import cactusfold.entry.upstream.UpstreamLimits
import cactusfold.entry.upstream.UpstreamPolling
import cactusfold.node.peer.PeerClients
import cactusfold.node.peer.PeerServer
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.HttpReachProbe
import cactusfold.platform.HttpRunnerApi
import cactusfold.platform.HttpTableStore
import cactusfold.platform.WireHeaders
import cactusfold.ports.http.BodyCollector
import cactusfold.ports.http.ByteBudget
import cactusfold.ports.http.HttpTarget
import cactusfold.ports.http.PlatformHttp
import cactusfold.ports.serving.OrderAuthority
import cactusfold.ports.serving.ResponseMetadata
import cactusfold.ports.serving.ServingConfig
import cactusfold.protocol.entry.FleetNotice
import cactusfold.protocol.entry.StoredHold
import cactusfold.protocol.entry.StoredMember
import cactusfold.settings.schema.HostPort
import io.micrometer.core.instrument.Tags
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.internal.VertxInternal
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Entry process: serves callers' requests, and coordinates the fleet while it holds the
 * coordinator's lease. Everything runs on one event loop, so the state needs no locks.
 */
public class EntryProcess(
    private val settings: EntrySettings,
    private val vertx: Vertx,
    dispatcher: CoroutineDispatcher,
    private val clock: MonotonicClock,
    incarnation: String,
    linesPerSecond: Int,
    private val memory: MemoryShares = MemoryShares.ofProcess(),
    callerSendBufferBytes: Int? = null,
    isServiceCut: ((service: String) -> Boolean)? = null,
    private val build: BuildInfo = BuildInfo.OF_PROCESS
) {
    private val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val tasks = TaskSupervisor(dispatcher, metrics)
    private val scope = tasks.scope
    private val eventLoops = (vertx as VertxInternal).nettyEventLoopGroup()
    private val events = EventLog(settings.vm, clock, linesPerSecond)
    private val storedRows = StoredRows(events, metrics)
    private val bounds = settings.bounds
    private val peerAddress = HostPort(settings.address, settings.peerPort)
    private val passingAddress = HostPort(settings.address, settings.passingPort)

    private val store = CountingStore(
        HttpTableStore(
            PlatformHttp(
                vertx,
                HttpTarget(settings.store.host, settings.store.port),
                STORE_TIMEOUT_MILLIS,
                closesOnTimeout = true,
                bodies =
                BodyCollector(HttpTableStore.MAX_ANSWER_BYTES, ByteBudget(memory.storeBytes))
            )
        ),
        metrics,
        ::storeCallReason
    )
    private val evacuations =
        ZoneEvacuations(clock, events, metrics).also { it.onChange = ::applyEvacuations }
    private val eligibility = UpstreamEligibility(settings.regionsByZone)

    private var table: RouteTable? = null
    private val config =
        ConfigWatcher(
            store,
            clock,
            events,
            bounds.keyWithdrawalMillis,
            { lease.isCoordinator },
            { !lease.isCoordinator && coordinatorClient.isConnected },
            evacuations,
            bounds.evacuateMillis,
            ::storeContactChanged,
            ::applyConfig
        )
    private val directory: UpstreamDirectory =
        UpstreamDirectory(store, clock, events, settings.zone, eligibility, ::upstreamPolling)
    private val memberRow = StoredMember.newBuilder().setVm(settings.vm).setBoot(incarnation)
        .setAddress(peerAddress.toString()).setZone(settings.zone)
        .setPassingAddress(passingAddress.toString())
        .setCommit(build.commit).setVersion(build.version).addAllAbilities(Abilities.OWN).build()
    private val lease = CoordinatorLeaseManager(
        store,
        CoordinatorLeaseMachine(
            CoordinatorLeaseSettings(LEASE_MILLIS, bounds.orderQuietMillis, LEASE_MARGIN_MILLIS)
        ),
        clock,
        events,
        storedRows,
        StoredHold.newBuilder().setVm(settings.vm).setBoot(incarnation)
            .setAddress(peerAddress.toString()).build(),
        LEASE_RENEW_INTERVAL_MILLIS,
        CoordinatorPace.takeoverDelayMillis(settings.cores),
        ::leaseReadMillis
    ) { coordinatorClient.connectedUntilMillis }
    private val fleetMeters = FleetMeters(metrics)
    private val meters = CallerMeters(metrics)
    private val limits = UpstreamLimits(
        clock,
        events,
        metrics,
        { directory.find(it.id)?.start == it },
        ::applyLimit
    ) { coordinatorClient.wake() }.also {
        it.cold.bounds = bounds.cold
        it.cold.requestsPerSecondOf = ::coldRequestsPerSecond
        it.cold.registeredStart = { id -> directory.find(id)?.start }
        it.cold.onSuspected = directory::markOutdated
        directory.readListener = it.cold
        it.brittle.serviceOf = { start -> registered(start)?.entry?.service }
        it.brittle.onChange = ::applyBrittle
        it.brittle.uses.inFlightOf = { start -> registered(start)?.inFlight ?: 0 }
        it.brittle.uses.slotsOf = { start -> registered(start)?.entry?.slots ?: 1 }
    }
    private val orders = ColdReports(
        HttpRunnerApi(vertx, ORDER_TIMEOUT_MILLIS, ByteBudget(memory.reportBytes)) {
            directory.recordLeaving(it)
        },
        clock,
        limits.cold
    )
    private val peers = PeerClients(eventLoops)
    private val waits = ModelWaitQueue(directory, clock) { coordinatorClient.wake() }
    private val suspects = SharedSuspects(clock, events) { coordinatorClient.wake() }
    private val promptBlocks = SharedPromptBlocks(clock, events) { coordinatorClient.wake() }
    private val demand = FleetDemand()
    private val rates =
        FleetTokenBuckets(clock, bounds.rateTolerance, FleetLimits({ table }, limits))
    private val loads = LoadCoordinator(
        scope,
        directory,
        demand,
        OrderDependencies(
            orders,
            { limits.find(it.start)?.rateTokensPerSecond },
            { rates.charge(RateSubject.Upstream(it.start)) },
            clock,
            events,
            { OrderAuthority(settings.vm, lease.fence) }
        ) {
            lease.mayAct
        },
        bounds.loadWindowMillis,
        LoadMeters(metrics)
    ) { table }
    private val streamTables = StreamTables(store, store, events, storedRows)
    private val recordedVersions = RecordedVersions(events)
    private val ownStreams = OwnStreams(clock, recordedVersions) { coordinatorClient.wake() }
    private val messages = MemberMessages(
        memberRow,
        directory,
        waits,
        suspects,
        promptBlocks,
        limits,
        recordedVersions,
        ownStreams,
        evacuations,
        storedRows,
        clock
    )
    private val fleetStreams: FleetStreams = FleetStreams(
        streamTables,
        lease,
        directory,
        clock,
        events,
        ::resumableServices,
        ownStreams::markUnsent
    ) { coordinator.announceVersions(it) }
    private val evacuationStatus =
        EvacuationStatus(
            store,
            evacuations,
            events,
            clock,
            bounds.evacuateMillis,
            { coordinator.memberCount }
        ) { lease.isCoordinator }
    private val coordinator: FleetCoordinator =
        FleetCoordinator(
            CoordinatorDependencies(
                settings.vm,
                lease,
                directory,
                loads,
                demand,
                rates,
                limits,
                config,
                evacuationStatus,
                suspects,
                promptBlocks,
                fleetStreams,
                clock,
                events,
                storedRows,
                fleetMeters
            ),
            store,
            dispatcher
        )
    private val coordinatorClient: CoordinatorClient =
        CoordinatorClient(
            settings.vm,
            lease,
            peers,
            clock,
            events,
            messages::report,
            ::reportAll,
            ::handleNotice,
            config::confirmed,
            fleetMeters
        ).also {
            it.localCoordinator = coordinator
            lease.onCoordinatorChanged = ::handleCoordinatorChange
        }
    private val rateLimiter: WorkspaceRateLimiter =
        WorkspaceRateLimiter(settings.vm, incarnation, clock, { coordinatorClient.memberCount }) {
            coordinatorClient.requestTokens(it)
        }
    private val sendLimiter = UpstreamRateLimiter(
        GrantMember(settings.vm, incarnation),
        clock,
        limits,
        { coordinatorClient.place }
    ) { coordinatorClient.requestSend(it) }
    private val queues = RequestQueues(directory, clock, scope) { sendLimiter.needsPermit(it) }
    private val probe = HttpReachProbe(vertx, ServiceReach.PROBE_TIMEOUT_MILLIS)
    private val reach = ServiceReach(scope, clock, events, directory::usable) {
        // A report takes a token of a limit, which belongs to requests.
        probe.probe(it.entry, asks = limits.find(it.start) == null)
    }
    private val peerServer = PeerServer(peerAddress, eventLoops, listOf(coordinator))
    private val answerBodies = AnswerBodies(maxTotalBytes = memory.answerBytes)
    private val passing = PassingDependencies(
        settings.vm,
        isServiceCut ?: reach::isCut,
        PeerDirectory(
            settings.vm,
            scope,
            clock,
            PeerChoice(settings.zone, PeerSender.MAX_REQUESTS_PER_PEER),
            storedRows
        ) { store.list(MemberRegistration.TABLE) },
        PeerSender(vertx, WireHeaders, answerBodies),
        { table },
        WireHeaders,
        clock,
        queues.times,
        events,
        metrics
    )
    private val callers = CallerServer(
        vertx,
        settings.callers,
        passingAddress,
        scope,
        RequestFlowDependencies(
            table = { table },
            isConfigFresh = { config.isFresh(clock.nowMillis()) },
            directory = directory,
            waits = waits,
            rateLimiter = rateLimiter,
            sendLimiter = sendLimiter,
            suspects = suspects,
            promptBlocks = promptBlocks,
            crashes = CrashDetector(
                scope,
                clock,
                promptBlocks,
                suspects::recordEnded,
                UpstreamProbe(vertx)::isRefused
            ),
            sender = UpstreamSender(
                vertx,
                WireHeaders,
                clock,
                answerBodies,
                directory::recordLeaving,
                reach::dataReceived,
                ::handleAnswer
            ),
            translator = WireHeaders,
            retries = RetryBudgets(bounds, clock) { coordinatorClient.memberCount },
            clock = clock,
            events = events,
            meters = meters,
            streams = StreamBindings(
                scope,
                recordedVersions,
                ownStreams,
                StreamLookup(
                    ownStreams,
                    streamTables::read,
                    clock,
                    { resumableServices().keptMillis }
                ) { coordinatorClient.findStream(it) },
                StartCheck(scope, directory, clock, events, sendLimiter, orders::report)
            ) { resumableServices().keptMillis },
            queues = queues,
            reach = reach,
            passing = passing
        ),
        events,
        ByteBudget(memory.callerBodyBytes),
        HeldStreams(memory.heldBytes, clock, events, metrics),
        settings.connections.callerCount,
        callerSendBufferBytes
    )
    private val status = StatusServer(
        vertx,
        metrics,
        clock,
        events,
        ConfiguredLimits { table?.config?.limits },
        settings.connections.statusCount,
        WireHeaders,
        meters::recordClosed,
        ::unreadyReason
    )
    private var isStopping = false
    private val configured = CompletableDeferred<Unit>()
    private val stopped = CompletableDeferred<Unit>()

    /** Whether the number of members is known, which the process needs to spend its token share. */
    public val isMemberCountKnown: Boolean get() = coordinatorClient.memberCount != null

    /** Starts the server for other entry processes. Blocks; not to be called on the event loop. */
    public fun listen(): Unit = peerServer.start()

    /** Starts the process. Callers' requests are accepted once the configuration has been read. */
    public suspend fun start() {
        events.write(
            "process-start",
            "commit" to build.commit,
            "version" to build.version,
            "zone" to settings.zone,
            "peer" to peerAddress.toString()
        )
        coordinator.onLocalNotice = { handleNotice(it, null) }
        directory.listen(coordinator::announceLeaving)
        directory.listen(fleetStreams::wake)
        directory.onStartReplaced = suspects::recordEnded
        directory.chooser.engineOf = { table?.service(it)?.engine }
        directory.chooser.vmCount = { coordinatorClient.memberCount }
        directory.chooser.onChosen = meters::recordChoice
        directory.onSilenceChecked = reach::silenceChecked
        registerGauges()
        tasks.keepRunning("configuration") { config.run() }
        tasks.keepRunning("upstreams") { directory.run() }
        tasks.keepRunning("silent upstreams") { directory.watchSilence() }
        tasks.keepRunning("reach") { reach.run() }
        tasks.keepRunning("lease") { lease.run() }
        tasks.keepRunning("coordinator") { coordinator.run() }
        tasks.keepRunning("evacuations") { evacuationStatus.run() }
        tasks.keepRunning("streams") { fleetStreams.run() }
        tasks.keepRunning("versions") {
            recordedVersions.follow(
                streamTables::readRecords,
                { resumableServices().names.isNotEmpty() }
            ) { coordinatorClient.isConnected }
        }
        tasks.keepRunning("link") { coordinatorClient.run() }
        tasks.keepRunning("callers' connections") { callers.watchConnections() }
        tasks.keepRunning("status connections") { status.watchConnections() }
        tasks.complete("registration") {
            val registration = MemberRegistration(store, memberRow).register()
            coordinatorClient.registered(registration)
            rateLimiter.registered(registration.wasRegistered)
            sendLimiter.registered(registration.wasRegistered)
        }
        status.start(settings.ready, HostPort(settings.address, settings.metricsPort))
        configured.await()
        if (isStopping) return
        callers.start()
        events.write("process-serving", "config" to config.current?.version)
    }

    private fun registerGauges() {
        val buildTags = Tags.of("commit", build.commit, "version", build.version)
        metrics.gauge("cactusfold.build.info", buildTags, 1)
        for (ability in Abilities.OWN) {
            val tags = Tags.of("ability", ability.name)
            metrics.gauge("cactusfold.fleet.ability", tags, coordinatorClient) {
                if (ability in it.fleetAbilities) 1.0 else 0.0
            }
        }
        metrics.gauge("cactusfold.requests.running", callers) { it.running.toDouble() }
        metrics.gauge("cactusfold.connections.open", callers) { it.connectionCount.toDouble() }
        metrics.gauge("cactusfold.requests.waiting.for.model", waits) { it.count.toDouble() }
        metrics.gauge("cactusfold.requests.waiting.for.place", queues) { it.count.toDouble() }
        metrics.gauge("cactusfold.requests.waiting.for.tokens", coordinator) {
            it.waitingForTokens.toDouble()
        }
        metrics.gauge("cactusfold.coordinator", lease) { if (it.isCoordinator) 1.0 else 0.0 }
        metrics.gauge("cactusfold.streams.known", fleetStreams) { it.count.toDouble() }
        metrics.gauge("cactusfold.services.cut", reach) { it.cutCount.toDouble() }
        metrics.gauge("cactusfold.log.lines.dropped", events) { it.droppedLines.toDouble() }
        metrics.gauge("cactusfold.log.in.force", EntryLogging) {
            if (it.checkInForce()) 1.0 else 0.0
        }
        metrics.more().counter("cactusfold.log.lines.written", emptyList(), EntryLogging) {
            it.writtenLines.toDouble()
        }
        metrics.more().counter("cactusfold.log.queue.dropped", emptyList(), EntryLogging) {
            it.droppedLines.toDouble()
        }
        metrics.gauge("cactusfold.config.age.millis", config) {
            it.ageMillis(clock.nowMillis())?.toDouble() ?: Double.NaN
        }
    }

    /**
     * Drains in-flight requests, as far as the shutdown time allows, and stops the process. The
     * time counts from [beganMillis], when the process was told to stop. A call during a stop
     * returns when that one has ended.
     */
    public suspend fun stop(beganMillis: Long = clock.nowMillis()) {
        if (isStopping) return stopped.await()
        isStopping = true
        try {
            drain(beganMillis)
            callers.stop(ShutdownBudget.closeMillis(bounds.stopMillis))
            scope.coroutineContext[Job]?.cancel()
            peerServer.stop(0)
            peers.close()
        } finally {
            stopped.complete(Unit)
        }
    }

    private suspend fun drain(beganMillis: Long) {
        val lagMillis = clock.nowMillis() - beganMillis
        events.write("process-stopping", "running" to callers.running, "lag_ms" to lagMillis)
        callers.isLeaving = true
        scope.launch { lease.release() }
        val refusesFromMillis = beganMillis + ShutdownBudget.acceptMillis(bounds.stopMillis)
        val drainMillis = ShutdownBudget.drainMillis(bounds.stopMillis)
        passing.handover.announce(beganMillis + drainMillis)
        passing.peers.prepare()
        callers.refuseFrom(refusesFromMillis)
        delay(refusesFromMillis - clock.nowMillis())
        passing.handover.begin()
        while (callers.running > 0 && clock.nowMillis() - beganMillis < drainMillis) {
            delay(DRAIN_CHECK_INTERVAL_MILLIS)
        }
        events.write("process-stopped", "running" to callers.running)
    }

    /** Logs a reload of the settings; it only checks them, and changes need a restart. */
    public fun logReload(problem: String?) {
        events.write("settings-reloaded", "problem" to problem)
    }

    private fun applyConfig(next: ServingConfig) {
        table = RouteTable(next)
        callers.configured()
        status.configured()
        rates.configured()
        coordinator.wakeMembers()
        fleetStreams.wake()
        configured.complete(Unit)
    }

    private fun storeContactChanged(isInContact: Boolean): Unit =
        if (isInContact) directory.storeRegained() else directory.storeLost()

    private fun applyEvacuations(evacuated: Set<String>, returned: Set<String>) {
        eligibility.evacuatedZones = evacuated
        // Runners may have started, or become cold, while nothing was sent to them.
        returned.flatMap(directory::inZone)
            .forEach { limits.cold.suspect(it.start, "evacuated", isKnownToAll = true) }
        directory.changed()
        // The coordinator confirms to the operator that all members send nothing more.
        coordinatorClient.wake()
        coordinator.wakeMembers()
        evacuationStatus.changed()
    }

    private fun registered(start: UpstreamStart): Upstream? =
        directory.find(start.id)?.takeIf { it.start == start }

    private fun coldRequestsPerSecond(start: UpstreamStart): Double? =
        registered(start)?.let { table?.service(it.entry.service)?.coldRequestsPerSecond }

    private fun resumableServices(): ResumableServices =
        table?.resumableServices ?: ResumableServices.NONE

    /** Has all that another coordinator has to know reported again. */
    private fun reportAll() {
        limits.markUnsent()
        limits.brittle.markUnsent()
        directory.markDeparturesUnsent()
        ownStreams.markUnsent()
        suspects.markUnsent()
    }

    private fun applyLimit(upstream: UpstreamStart) {
        coordinator.announceLimit(upstream)
        if (limits.find(upstream) != null) return
        registered(upstream)?.recordUnlimited()
        meters.forgetLimited(upstream.id)
    }

    private fun applyBrittle(upstream: UpstreamStart) {
        coordinator.announceBrittle(upstream)
        // The coordinator counts what this process uses, also if others have told it.
        limits.brittle.stateUse(upstream)
        if (limits.brittle.find(upstream) == null) registered(upstream)?.recordUnlimited()
    }

    private fun upstreamPolling(): UpstreamPolling = when {
        lease.isCoordinator -> UpstreamPolling.Coordinator
        coordinatorClient.isConnected && directory.relayedUntilMillis > clock.nowMillis() ->
            UpstreamPolling.Following(
                minOf(directory.relayedUntilMillis, coordinatorClient.connectedUntilMillis)
            )
        coordinatorClient.isConnected && config.isConfirmedRecently(clock.nowMillis()) ->
            UpstreamPolling.Member(
                minOf(config.confirmedUntilMillis, coordinatorClient.connectedUntilMillis),
                coordinatorClient.memberCount
            )
        else -> UpstreamPolling.Detached(coordinatorClient.memberCount)
    }

    private fun storeCallReason(): StoreCallReason = when {
        lease.isCoordinator -> StoreCallReason.COORDINATOR
        coordinatorClient.isConnected -> StoreCallReason.MEMBER
        else -> StoreCallReason.NO_CONTACT
    }

    private fun leaseReadMillis(): Long = ReadPace.leaseMillis(
        coordinatorClient.place.memberCount,
        coordinatorClient.place.position,
        settings.cores
    )

    private fun handleCoordinatorChange() {
        coordinatorClient.leaseChanged()
        config.roleChanged()
    }

    private fun unreadyReason(): String? = when {
        isStopping -> "stopping"
        table == null -> "no configuration yet"
        !directory.isKnown -> "no upstreams known yet"
        !config.isFresh(clock.nowMillis()) -> "the configuration may be out of date"
        directory.isHeld -> "the upstreams may be out of date"
        else -> null
    }

    private fun handleNotice(notice: FleetNotice, reportedAtMillis: Long?) {
        messages.apply(notice, reportedAtMillis)
        if (notice.versionsList.any { it.needsReports }) coordinatorClient.wake()
        rateLimiter.heard()
        sendLimiter.heard()
    }

    private fun handleAnswer(upstream: Upstream, facts: ResponseMetadata, sentAtMillis: Long) {
        suspects.recordAnswer(upstream.start, sentAtMillis)
        limits.answered(upstream.start, facts.limit, sentAtMillis)
        facts.coldMillis?.let { limits.cold.answered(upstream.start, it, sentAtMillis) }
        facts.brittle?.let { limits.brittle.answered(upstream.start, it, sentAtMillis) }
    }

    private companion object {
        /** Timeout of a call to the store, which normally takes a few milliseconds. */
        const val STORE_TIMEOUT_MILLIS = 1_000L

        /** Timeout of an order or report; runners normally answer within milliseconds. */
        const val ORDER_TIMEOUT_MILLIS = 500L

        /** How long a lease is valid after a renewal, and the interval between renewals. */
        const val LEASE_MILLIS = 2_000L
        const val LEASE_RENEW_INTERVAL_MILLIS = 700L
        const val LEASE_MARGIN_MILLIS = 250L

        const val DRAIN_CHECK_INTERVAL_MILLIS = 20L
    }
}
