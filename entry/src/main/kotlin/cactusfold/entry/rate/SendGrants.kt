package cactusfold.entry.rate

import cactusfold.decisions.rate.GrantResponse
import cactusfold.entry.upstream.UpstreamLimits
import cactusfold.entry.upstream.UpstreamLimits.Companion.start
import cactusfold.protocol.entry.SendGrant
import cactusfold.protocol.entry.SendRequest

/** Grants sends to upstreams that limit the requests of all VMs together, at the coordinator. */
public class SendGrants(
    private val buckets: FleetTokenBuckets,
    private val limits: UpstreamLimits
) {
    /**
     * Grants the first candidate of [request] that has a token. If there is none, the time to wait
     * follows from the limits of all candidates together.
     */
    public fun ask(request: SendRequest): SendGrant {
        // The member may know of a limit that this process has not heard of yet.
        request.candidatesList.forEach { limits.heard(it, request.vm) }
        val member = GrantMember(request.vm, request.boot)
        // A member may not have read the row of a later start under the same id.
        val subjects = request.candidatesList
            .map { RateSubject.Upstream(limits.cold.current(it.start)) }
        val granted = subjects.find { buckets.take(it, member, 1) !is GrantResponse.Wait }
        if (granted != null) {
            return SendGrant.newBuilder().setOutcome(SendGrant.Outcome.GRANTED)
                .setUpstream(granted.start.id).build()
        }
        return SendGrant.newBuilder().setOutcome(SendGrant.Outcome.WAIT)
            .setRetryAfterMillis(buckets.waitMillis(subjects, request.joinsQueue)).build()
    }
}
