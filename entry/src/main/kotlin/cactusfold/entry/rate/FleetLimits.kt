package cactusfold.entry.rate

import cactusfold.decisions.rate.RateLimit
import cactusfold.entry.config.RouteTable
import cactusfold.entry.upstream.UpstreamLimits

/** The limits of all rates that the fleet shares: those configured, and those upstreams state. */
public class FleetLimits(
    private val table: () -> RouteTable?,
    private val upstreams: UpstreamLimits
) {
    /** Returns all that has a limit. */
    public fun subjects(): List<RateSubject> {
        val workspaces = table()?.config?.workspaces.orEmpty().filter { it.ratePerSecond != null }
            .map { RateSubject.Workspace(it.name) }
        return workspaces + upstreams.inForce.keys.map(RateSubject::Upstream)
    }

    /** Returns the limit of [subject], or null if it has none. */
    public fun find(subject: RateSubject): RateLimit? = when (subject) {
        is RateSubject.Workspace -> workspace(subject.name)
        is RateSubject.Upstream -> upstreams.find(subject.start)
    }

    private fun workspace(name: String): RateLimit? {
        val workspace = table()?.config?.workspaces?.find { it.name == name } ?: return null
        return workspace.ratePerSecond?.let { RateLimit(it, workspace.burst) }
    }
}
