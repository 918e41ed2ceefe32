package cactusfold.entry.upstream

import cactusfold.decisions.Rendezvous
import cactusfold.decisions.routing.ChoiceContext
import cactusfold.decisions.routing.ExpectedTime
import cactusfold.decisions.routing.ExpectedTimes
import cactusfold.decisions.routing.PrefixCaches
import cactusfold.decisions.routing.ReplicaChoice
import cactusfold.decisions.routing.RequestWork
import cactusfold.decisions.routing.RunnerChoice
import cactusfold.decisions.routing.RunnerPrior
import cactusfold.decisions.routing.RunnerView
import cactusfold.decisions.routing.SpeedCalibration
import cactusfold.decisions.routing.SpeedLearning
import cactusfold.ports.serving.EngineSpec
import cactusfold.ports.serving.RequestMetadata
import kotlin.random.Random

/** What is expected of a request that is sent now; it may hold [tokens] in its runner's memory. */
public class ExpectedSend(public val time: ExpectedTime, public val tokens: Long) {
    /** Returns the expected time to the first data of the answer, which is whole if no stream. */
    public fun millis(isStream: Boolean): Double =
        if (isStream) time.firstEventMillis else time.endMillis
}

/**
 * Chooses among upstreams that can serve a request. Runners of a model engine are chosen by the
 * time that the request is expected to take, plain services by latency and load.
 */
public class UpstreamChooser(private val zone: String, private val fleetLoads: FleetLoads) {
    private val times = ExpectedTimes(ZONE_CROSSING_MILLIS)
    private val runnerChoice = RunnerChoice(times)
    private val replicaChoice = ReplicaChoice(ZONE_CROSSING_MILLIS, AFFINITY_LOAD_GAP)
    private val prefixes = PrefixCaches()
    private val calibrations = HashMap<String, SpeedCalibration>()

    /** Returns the model engine of the named service; null for a plain service. */
    public var engineOf: (service: String) -> EngineSpec? = { null }

    /** Returns the number of VMs that receive requests; null if it is not known. */
    public var vmCount: () -> Int? = { null }

    /** Called with the service and the reason of each choice. */
    public var onChosen: (service: String, reason: String) -> Unit = { _, _ -> }

    /** Returns the best of [candidates], of one service, or null if all are full or backed off. */
    public fun choose(
        candidates: List<Upstream>,
        request: RequestMetadata,
        nowMillis: Long
    ): Upstream? {
        val service = candidates.firstOrNull()?.entry?.service ?: return null
        // Requests that wait ask repeatedly, and estimates are not free.
        if (candidates.none { it.isAvailable(nowMillis) }) return null
        val engine = engineOf(service)
        val (id, reason) = if (engine == null) {
            chooseReplica(candidates, request.promptPrefixId, nowMillis) to "load"
        } else {
            val chosen = chooseRunner(candidates, engine, request, nowMillis)
            chosen?.upstream to chosen?.reason?.label
        }
        if (id == null || reason == null) return null
        onChosen(service, reason)
        return candidates.find { it.entry.id == id }
    }

    /**
     * Returns what is expected of [request], which is about to be sent to [upstream], and counts
     * its prompt; null for a plain service.
     *
     * @param peers the upstreams of the same service.
     */
    public fun expect(
        upstream: Upstream,
        peers: List<Upstream>,
        request: RequestMetadata,
        nowMillis: Long
    ): ExpectedSend? {
        val engine = engineOf(upstream.entry.service) ?: return null
        val work = workOf(request)
        val views = peers.map { viewOf(it, engine, nowMillis) }
        val cached = prefixes.locate(work, views.map { it.upstream }, vms(), nowMillis)
        prefixes.record(work, nowMillis)
        val time = times.estimate(
            viewOf(upstream, engine, nowMillis),
            work,
            cached.tokensAt(upstream.entry.id),
            zone,
            RunnerPrior.of(views, calibration(upstream))
        )
        return ExpectedSend(time, work.tokens)
    }

    /** Learns from a request at [upstream], whose first data came after [observedMillis]. */
    public fun learn(
        upstream: Upstream,
        expected: ExpectedSend,
        isStream: Boolean,
        observedMillis: Long,
        nowMillis: Long
    ) {
        // How long others hold a slot is not known well enough to learn from.
        if (expected.time.waitMillis > 0) return
        val expectedMillis = expected.millis(isStream)
        val ratio = SpeedLearning.ratio(expectedMillis, observedMillis.toDouble())
        val before = calibration(upstream)
        val after = before.learned(ratio)
        calibrations[upstream.entry.service] = after
        upstream.load.learn(expected.time.speed, ratio * before.factor / after.factor, nowMillis)
    }

    private fun calibration(upstream: Upstream): SpeedCalibration =
        calibrations[upstream.entry.service] ?: SpeedCalibration.START

    private fun chooseRunner(
        candidates: List<Upstream>,
        engine: EngineSpec,
        request: RequestMetadata,
        nowMillis: Long
    ) = workOf(request).let { work ->
        runnerChoice.choose(
            candidates.map { viewOf(it, engine, nowMillis) },
            work,
            prefixes.locate(work, candidates.map { it.entry.id }, vms(), nowMillis),
            ChoiceContext(zone, vms(), nowMillis, calibration(candidates.first())),
            Random::nextInt
        )
    }

    private fun chooseReplica(
        candidates: List<Upstream>,
        affinity: String?,
        nowMillis: Long
    ): String? = replicaChoice.choose(
        candidates.map { it.view(nowMillis) },
        zone,
        affinity?.let { Rendezvous.preferred(it, candidates.map { c -> c.entry.id }) },
        Random.nextInt(Int.MAX_VALUE),
        Random.nextInt(Int.MAX_VALUE),
        nowMillis
    )?.upstream

    private fun viewOf(upstream: Upstream, engine: EngineSpec, nowMillis: Long): RunnerView =
        upstream.runnerView(
            engine.memoryTokens,
            fleetLoads.others(upstream.entry.id, nowMillis),
            nowMillis
        )

    private fun vms(): Int = vmCount() ?: 1

    private fun workOf(request: RequestMetadata): RequestWork = RequestWork.of(
        "${request.model.orEmpty()}/${request.adapter.orEmpty()}",
        request.promptTokens,
        request.outputTokens,
        request.cacheableBlocks
    )

    private companion object {
        /** Added to the cost of an upstream in another availability zone. */
        const val ZONE_CROSSING_MILLIS = 1.0

        /** Additional load, as a share of slots, accepted at the replica with affinity. */
        const val AFFINITY_LOAD_GAP = 0.1
    }
}
