package cactusfold.router

import cactusfold.decisions.queue.WaitingList
import cactusfold.decisions.routing.ReplicaChoice
import cactusfold.node.events.NodeEvent
import cactusfold.node.launch.Daemon
import cactusfold.node.launch.NodeCore
import cactusfold.node.peer.RoleService
import cactusfold.node.session.Role
import cactusfold.protocol.ClaimQuery
import cactusfold.protocol.ClaimReply
import cactusfold.protocol.SuspectReport
import cactusfold.router.callers.CallerDependencies
import cactusfold.router.callers.CallerHandler
import cactusfold.router.callers.CallerServer
import cactusfold.router.callers.RunningRequests
import cactusfold.router.claim.ClaimManager
import cactusfold.router.forward.Dispatcher
import cactusfold.router.forward.Suspects
import cactusfold.router.forward.UpstreamClient
import cactusfold.router.lane.LaneDependencies
import cactusfold.router.lane.Lanes
import cactusfold.router.lane.ModelWatchers
import cactusfold.router.lane.Upstreams
import cactusfold.router.rate.Admission
import cactusfold.settings.fleet.FleetConfig
import io.vertx.core.Vertx
import java.util.concurrent.atomic.AtomicBoolean
import kotlinx.coroutines.delay

/** Router process: admits, queues and routes caller requests. */
public class Router(settings: RouterSettings, vertx: Vertx) : Daemon {
    /** The components common to all processes. */
    public val core: NodeCore = NodeCore(settings.node, Role.ROUTER, vertx)

    private val isStopped = AtomicBoolean()
    private val running = RunningRequests()
    private val upstreams = Upstreams(core.clock)
    private val client = UpstreamClient(vertx, settings.upstreams)
    private val suspects = Suspects(core)
    private val claims = ClaimManager(core)
    private val lanes = Lanes(
        core,
        LaneDependencies(
            WaitingList(settings.queueMaxTotal, settings.queueMaxPerWorkspace),
            ReplicaChoice(ZONE_CROSSING_MILLIS, AFFINITY_LOAD_GAP),
            upstreams,
            settings.node.zone,
            core.clock
        ),
        ModelWatchers(core, ::targetMillisOf)
    )
    private val handler = CallerHandler(
        core,
        settings.callers,
        CallerDependencies(
            lanes,
            Admission(core, settings.contact, settings.queueMaxPerWorkspace),
            Dispatcher(client, upstreams, suspects, core.events, core.clock::nowMillis),
            claims,
            running
        )
    )
    private val server = CallerServer(vertx, settings.callers, handler)

    /** The port that serves callers. */
    public val callerPort: Int get() = server.port

    /** Number of requests that have not finished. */
    public val runningRequests: Int get() = running.count

    public suspend fun start() {
        core.config.listen(::onConfigChanged)
        core.start(PeerRequests(), emptyList())
        lanes.start()
        core.metrics.gauge("cactusfold.requests.running", running) { it.count.toDouble() }
        server.start()
    }

    /**
     * Drains running requests within [DRAIN_TIMEOUT_MILLIS], then stops. New requests are refused
     * only after load balancers have had time to notice that the router is not ready.
     */
    override suspend fun stop() {
        if (!isStopped.compareAndSet(false, true)) return
        core.beginStop()
        delay(READINESS_PROPAGATION_MILLIS)
        handler.beginStop()
        val deadline = core.clock.nowMillis() + DRAIN_TIMEOUT_MILLIS
        while (running.count + claims.active > 0 &&
            core.clock.nowMillis() < deadline
        ) {
            delay(DRAIN_POLL_MILLIS)
        }
        server.stop()
        handler.stop()
        client.close()
        core.stop()
    }

    private fun onConfigChanged(config: FleetConfig) {
        for (request in running.cancelWithdrawn(config)) {
            core.events.add(
                NodeEvent.KeyWithdrawn(
                    request.id,
                    "",
                    request.keyDigest.orEmpty().take(DIGEST_CHARS)
                )
            )
        }
    }

    private fun targetMillisOf(model: String): Long {
        val config = core.config.current
        val workClass = config.models[model]?.workClass
            ?: config.routes.find { it.services == null }?.workClass
        return config.classes[workClass]?.targetMillis ?: 0
    }

    private inner class PeerRequests : RoleService {
        override suspend fun claimStatus(query: ClaimQuery): ClaimReply = claims.status(query)

        override fun reportSuspect(report: SuspectReport) {
            suspects.recordReport(report)
        }
    }

    private companion object {
        const val ZONE_CROSSING_MILLIS = 1.0
        const val AFFINITY_LOAD_GAP = 0.25
        const val READINESS_PROPAGATION_MILLIS = 500L
        const val DRAIN_TIMEOUT_MILLIS = 120_000L
        const val DRAIN_POLL_MILLIS = 50L
        const val DIGEST_CHARS = 8
    }
}
