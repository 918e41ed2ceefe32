package cactusfold.entry.callers

import cactusfold.decisions.places.HomeRegions
import cactusfold.decisions.streams.StreamOrigin
import cactusfold.entry.streams.StreamFinding
import cactusfold.entry.upstream.Upstream
import cactusfold.ports.serving.Repeatability
import cactusfold.ports.serving.ServingRoute
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi

/**
 * Keeps the stream of one request at the service and software version at which it began. Other
 * requests may be sent to any upstream of their service.
 */
internal class StreamPlacement(
    private val dependencies: RequestFlowDependencies,
    private val request: CallerRequest,
    private val route: ServingRoute,
    private val selectedService: String,
    /** The regions whose upstreams may get the request. */
    val homes: HomeRegions = HomeRegions.ANY
) {
    private val isResumable = route.repeatability == Repeatability.STREAM_RESUMABLE
    private val isTakenUp = isResumable && request.facts.lastEventId != null
    private val facts = request.facts

    /** Where the stream began; null before its first event. */
    private var origin: StreamOrigin? = null

    /** Whether the origin is certain; null if it was known before this answer. */
    private var originCheck: Deferred<Boolean>? = null

    /** The service to which the request is sent. */
    val service: String get() = origin?.service ?: selectedService

    /** Whether only upstreams of one software version can continue the stream. */
    val isBound: Boolean get() = origin != null

    /** The only software version whose upstreams can continue the stream; null for any. */
    val softwareVersion: String? get() = origin?.softwareVersion

    /** The code of a refusal because no upstream has the model in time. */
    val absentModelCode: String get() = if (isBound) "stream-version-busy" else "model-not-in-time"

    /**
     * Finds out where a stream began that the caller resumes. Returns why it cannot go on, or null.
     */
    suspend fun locate(deadlineAtMillis: Long): ErrorAnswer? {
        if (!isTakenUp) return null
        val startedAtMillis = dependencies.clock.nowMillis()
        val untilMillis = minOf(deadlineAtMillis, startedAtMillis + route.targetMillis)
        val finding = dependencies.streams.lookup.find(facts.resumedId, untilMillis)
        val refusal = when (finding) {
            is StreamFinding.Found -> {
                origin = finding.origin
                val isRouted = route.services.any { it.service == finding.origin.service }
                if (isRouted) null else ErrorAnswer.NotRun("stream-service-gone", null)
            }
            StreamFinding.Unknown -> ErrorAnswer.NotRun("stream-unknown", null)
            StreamFinding.Uncertain -> ErrorAnswer.NotRun("stream-uncertain", null)
            StreamFinding.Undecided ->
                ErrorAnswer.NotRun("stream-undecided", UNDECIDED_RETRY_AFTER_MILLIS)
        }
        val source = (finding as? StreamFinding.Found)?.source
        dependencies.meters.recordResumption(refusal?.code ?: source.orEmpty())
        dependencies.events.write(
            "stream-located",
            "request" to facts.id,
            "resumes" to facts.resumedId,
            "after" to facts.lastEventId,
            "source" to source,
            "refusal" to refusal?.code,
            "service" to origin?.service,
            "version" to origin?.softwareVersion,
            "took_ms" to dependencies.clock.nowMillis() - startedAtMillis
        )
        return refusal
    }

    /** Returns the upstreams to which the request may be sent now. */
    fun candidates(): List<Upstream> = servingInHomes().filter(::accepts)

    /** Whether upstreams have the model that only do not accept this stream. */
    fun hasOthers(): Boolean = servingInHomes().isNotEmpty()

    private fun servingInHomes(): List<Upstream> =
        dependencies.directory.serving(service, facts.model, facts.adapter)
            .filter { homes.accepts(it.region) }

    /** Returns why no upstream in the request's homes can serve it; null if one may. */
    fun homeRefusal(): ErrorAnswer? {
        if (homes == HomeRegions.ANY || !dependencies.directory.isKnown) return null
        val registered = dependencies.directory.inHomes(service, homes)
        if (registered.any { it.isUsable }) return null
        // Those that are registered may return; otherwise it is not known that there will be any.
        val retryAfterMillis = NO_HOME_RETRY_AFTER_MILLIS.takeIf { registered.isNotEmpty() }
        return ErrorAnswer.NotRun("no-upstream-in-home-regions", retryAfterMillis)
    }

    private fun accepts(upstream: Upstream): Boolean {
        if (!isResumable) return true
        val version = upstream.entry.softwareVersion
        return origin?.let { it.softwareVersion == version }
            ?: dependencies.streams.recorded.contains(service, version)
    }

    /** Whether no upstream that may receive requests has the version that the stream needs. */
    fun isVersionGone(): Boolean =
        origin?.let { !dependencies.directory.isServing(it.service, it.softwareVersion) } ?: false

    /**
     * Checks, before the first event of [upstream] is passed on, that the stream may begin or go on
     * there.
     */
    suspend fun began(upstream: Upstream): StreamCheck {
        if (!isResumable) return StreamCheck.Sound
        val bound = origin
        val id = if (isTakenUp) facts.resumedId else facts.id
        if (bound != null) {
            if (!dependencies.streams.starts.isRunning(upstream)) return OTHER_START
            id?.let { dependencies.streams.continued(it, bound) }
        } else {
            val begun = StreamOrigin(service, upstream.entry.softwareVersion)
            origin = begun
            originCheck = dependencies.streams.bind(facts.id, begun, upstream)
        }
        dependencies.events.write(
            "stream-bound",
            "request" to facts.id,
            "stream" to id,
            "service" to origin?.service,
            "version" to origin?.softwareVersion
        )
        return StreamCheck.Sound
    }

    /** Whether [isOriginCertain] is known to be true by now. */
    val isOriginConfirmed: Boolean
        @OptIn(ExperimentalCoroutinesApi::class)
        get() = originCheck?.run { isCompleted && !isCancelled && getCompleted() } ?: true

    /** Whether the stream surely began at the version that its upstream had registered. */
    suspend fun isOriginCertain(): Boolean = originCheck?.await() ?: true

    private companion object {
        /** Another coordinator takes over within some seconds. */
        const val UNDECIDED_RETRY_AFTER_MILLIS = 1_000L

        /** Upstreams that restart, or rows that lapsed, are back within seconds. */
        const val NO_HOME_RETRY_AFTER_MILLIS = 1_000L

        val OTHER_START = StreamCheck.Unsound("the upstream may have restarted")
    }
}
