package cactusfold.router.lane

import cactusfold.decisions.queue.QueueRefusal
import cactusfold.node.launch.NodeCore
import cactusfold.node.peer.PeerResult
import cactusfold.node.rows.Shards
import cactusfold.protocol.ModelDemand
import cactusfold.protocol.ModelPlacement
import cactusfold.protocol.Replica
import cactusfold.settings.schema.HostPort
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Watches the placement of each model in use, with one long poll per model regardless of the number
 * of queued requests. A poll ends early when a request arrives for a lane without replicas, or when
 * the lane becomes idle.
 */
public class ModelWatchers(
    private val core: NodeCore,
    private val targetMillisOf: (String) -> Long
) {
    private class Watcher(val wakeUps: Channel<Unit>)

    private val watchers = ConcurrentHashMap<String, Watcher>()

    /**
     * Watches the placement of [lane] while it is in use. While the lane has no replica, each call
     * interrupts the long poll so that new demand is reported at once.
     */
    public fun watch(lane: Lane) {
        var isNew = false
        val watcher = watchers.computeIfAbsent(lane.name) {
            isNew = true
            Watcher(Channel(Channel.CONFLATED))
        }
        if (isNew) {
            core.scope.launch {
                try {
                    run(lane, watcher)
                } finally {
                    watchers.remove(lane.name, watcher)
                }
            }
        } else if (lane.targets.isEmpty()) {
            watcher.wakeUps.trySend(Unit)
        }
    }

    /** Reports at once that [lane] is idle, so that its model can be evicted for another. */
    public fun reportIdle(lane: Lane) {
        watchers[lane.name]?.wakeUps?.trySend(Unit)
    }

    private suspend fun run(lane: Lane, watcher: Watcher) {
        var version = 0L
        var arrivalsReported = 0
        while (isInUse(lane)) {
            val arrivals = lane.arrivals.get()
            val wait = pollMillis(lane)
            val result = pollInterruptibly(watcher) {
                poll(
                    lane,
                    version,
                    wait,
                    arrivals - arrivalsReported
                )
            }
            if (result is PollResult.Interrupted) {
                delay(MIN_REPORT_INTERVAL_MILLIS)
                continue
            }
            val placement = (result as PollResult.Answered).placement
            if (placement == null) {
                core.config.current.cellOf(lane.name)
                    ?.let { core.sessions.refreshHolder(Shards.ofCell(it)) }
                withTimeoutOrNull(RETRY_MILLIS) { watcher.wakeUps.receive() }
                continue
            }
            arrivalsReported = arrivals
            version = placement.version
            lane.updateTargets(placement.replicasList.map(::targetOf))
            if (placement.outcome == ModelPlacement.Outcome.NO_CAPACITY) {
                lane.refuseAll(QueueRefusal.LATE)
                delay(RETRY_MILLIS)
            }
        }
    }

    private sealed interface PollResult {
        class Answered(val placement: ModelPlacement?) : PollResult

        data object Interrupted : PollResult
    }

    /** Runs the long poll [call] until it returns or the watcher is woken up to report early. */
    private suspend fun pollInterruptibly(
        watcher: Watcher,
        call: suspend () -> ModelPlacement?
    ): PollResult = coroutineScope {
        val answer = async { call() }
        select {
            answer.onAwait { PollResult.Answered(it) }
            watcher.wakeUps.onReceive {
                answer.cancel()
                PollResult.Interrupted
            }
        }
    }

    /**
     * Long-poll timeout for [lane]. Load reports are needed only to choose among several replicas;
     * a changed placement ends the poll early in any case.
     */
    private fun pollMillis(lane: Lane): Long = when {
        lane.waiting > 0 -> WAITING_POLL_MILLIS
        lane.running > 0 && lane.targets.size > 1 -> REPORT_POLL_MILLIS
        else -> IDLE_POLL_MILLIS
    }

    private fun isInUse(lane: Lane): Boolean = lane.waiting + lane.running > 0 ||
        core.clock.nowMillis() - lane.usedAtMillis < IDLE_WATCH_MILLIS

    private suspend fun poll(
        lane: Lane,
        version: Long,
        waitMillis: Long,
        arrivals: Int
    ): ModelPlacement? {
        val holder = holderOf(lane.name) ?: return null
        val now = core.clock.nowMillis()
        val demand = ModelDemand.newBuilder()
            .setModel(lane.name)
            .setRouter(core.sessions.session)
            .setKnownVersion(version)
            .setWaitMillis(waitMillis)
            .setWaiting(lane.waiting)
            .setRunning(lane.running)
            .setEarliestDeadlineMillis(
                lane.earliestDeadlineMillis?.let { (it - now).coerceAtLeast(1) } ?: 0
            )
            .setTargetMillis(targetMillisOf(lane.name))
            .setArrivals(arrivals)
            .build()
        val timeoutMillis = waitMillis + CALL_MARGIN_MILLIS
        val answer = core.peers.holder(holder, timeoutMillis) { watchModel(demand) }
        return (answer as? PeerResult.Answer)?.value
            ?.takeIf { it.outcome != ModelPlacement.Outcome.NOT_HOLDER }
    }

    private fun holderOf(model: String): HostPort? {
        val cell = core.config.current.cellOf(model) ?: return null
        return core.sessions.holderOf(Shards.ofCell(cell))?.address
    }

    private fun targetOf(replica: Replica): Target = Target(
        replica.upstream,
        HostPort(replica.host, replica.port),
        replica.zone,
        replica.slots,
        replica.reportedRunning,
        replica.reportedWaiting
    )

    private companion object {
        const val WAITING_POLL_MILLIS = 250L
        const val REPORT_POLL_MILLIS = 1_000L
        const val IDLE_POLL_MILLIS = 8_000L
        const val CALL_MARGIN_MILLIS = 500L
        const val RETRY_MILLIS = 100L
        const val MIN_REPORT_INTERVAL_MILLIS = 20L
        const val IDLE_WATCH_MILLIS = 15_000L
    }
}
