package cactusfold.entry.rate

import cactusfold.decisions.rate.UpstreamStart

/** What a rate that the fleet shares applies to. */
public sealed interface RateSubject {
    /** The requests of the workspace [name]. */
    public data class Workspace(public val name: String) : RateSubject

    /** The requests sent to one start of an upstream. */
    public data class Upstream(public val start: UpstreamStart) : RateSubject
}
