package cactusfold.entry.rate

import cactusfold.decisions.rate.GrantResponse
import cactusfold.entry.upstream.UpstreamLimits
import cactusfold.entry.upstream.UpstreamLimits.Companion.start
import cactusfold.protocol.entry.SendGrant
import cactusfold.protocol.entry.SendRequest

/**
 * Grants sends to upstreams that limit the requests of all VMs together, or whose places are counted
 * since they are brittle, at the coordinator.
 */
public class SendGrants(
    private val buckets: FleetTokenBuckets,
    private val limits: UpstreamLimits
) {
    /** The places of brittle upstreams. */
    public val places: BrittleGrants = BrittleGrants(limits.brittle)

    /**
     * Grants the first candidate of [request] that has a token and a place. If there is none, the
     * time to wait follows from all candidates together. Nothing is decided while it is not known
     * what the members use.
     */
    public fun ask(request: SendRequest): SendGrant {
        // The member may know of a limit that this process has not heard of yet.
        places.active()
        request.candidatesList.forEach { limits.heard(it, request.vm) }
        request.brittleList.forEach { places.heard(it, request.vm, request.boot) }
        val member = GrantMember(request.vm, request.boot)
        // A member may not have read the row of a later start under the same id.
        val subjects = request.candidatesList
            .map { RateSubject.Upstream(limits.cold.current(it.start)) }
        val states = subjects.associateWith { places.state(it.start, request.vm) }
        val open = subjects.filter {
            states[it] == PlaceState.FREE || states[it] == PlaceState.UNBOUNDED
        }
        val granted = open.find { buckets.take(it, member, 1) !is GrantResponse.Wait }
        if (granted != null) {
            val isPlace = states[granted] == PlaceState.FREE
            return SendGrant.newBuilder().setOutcome(SendGrant.Outcome.GRANTED)
                .setUpstream(granted.start.id)
                .setPlaceGrant(if (isPlace) places.grant(granted.start, request.vm) else 0)
                .build()
        }
        if (PlaceState.UNKNOWN in states.values) {
            return SendGrant.newBuilder().setOutcome(SendGrant.Outcome.NOT_HOLDER).build()
        }
        val full = subjects.filter { states[it] == PlaceState.FULL }.map { it.start }
        val waits = listOfNotNull(
            places.retryAfterMillis(full),
            open.takeIf { it.isNotEmpty() || full.isEmpty() }
                ?.let { buckets.waitMillis(it, request.joinsQueue) }
        )
        return SendGrant.newBuilder().setOutcome(SendGrant.Outcome.WAIT)
            .setRetryAfterMillis(waits.min()).build()
    }
}
