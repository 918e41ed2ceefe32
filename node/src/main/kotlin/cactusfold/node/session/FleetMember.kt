package cactusfold.node.session

import cactusfold.node.process.ProcessIdentity
import cactusfold.settings.schema.HostPort

/** What a process does in the fleet. */
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

/** The holder of a shard, as the table last told. */
public data class ShardHolder(
    public val session: String,
    public val fence: Long,
    public val address: HostPort
)

/** Told about shards that this process takes and loses. */
public interface ShardListener {
    /** The shard is held with [fence] from now on. */
    public fun onShardAcquired(shard: String, fence: Long)

    /** The shard is not held any more. */
    public fun onShardLost(shard: String, fence: Long)
}

/** Who this process is to others. */
public data class SelfDescription(
    public val name: String,
    public val role: Role,
    public val zone: String,
    public val address: HostPort,
    public val adminAddress: HostPort,
    public val identity: ProcessIdentity
)
