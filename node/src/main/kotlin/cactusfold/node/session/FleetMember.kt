package cactusfold.node.session

import cactusfold.node.process.ProcessIdentity
import cactusfold.settings.schema.HostPort

/** The role of a process in the fleet. */
public enum class Role { ROUTER, CONTROLLER }

/** A process of the fleet, as its session row describes it. */
public data class FleetMember(
    public val session: String,
    public val role: Role,
    public val vm: String,
    public val zone: String,
    public val address: HostPort,
    public val adminAddress: HostPort,
    public val isLeaving: Boolean
)

/** The lease holder of a shard according to the latest read of the table. */
public data class ShardHolder(
    public val session: String,
    public val fence: Long,
    public val address: HostPort
)

/** Listener for the shard leases that this process acquires and loses. */
public interface ShardListener {
    /** This process holds [shard] under the fencing token [fence] from now on. */
    public fun onShardAcquired(shard: String, fence: Long)

    /** This process no longer holds [shard], which it held under [fence]. */
    public fun onShardLost(shard: String, fence: Long)
}

/** What this process publishes about itself in its session row. */
public data class SelfDescription(
    public val name: String,
    public val role: Role,
    public val zone: String,
    public val address: HostPort,
    public val adminAddress: HostPort,
    public val identity: ProcessIdentity
)
