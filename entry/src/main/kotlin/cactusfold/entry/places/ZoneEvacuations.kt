package cactusfold.entry.places

import cactusfold.decisions.places.EvacuationRevision
import cactusfold.decisions.places.EvacuationState
import cactusfold.entry.process.EventLog
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.EvacuationRows
import cactusfold.ports.table.FeedResult
import cactusfold.protocol.entry.EvacuatedZones
import cactusfold.protocol.entry.HeldZone
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet

/**
 * The availability zones to which nothing may be sent, by the operator's rows that this process has
 * read or that the coordinator has told it of.
 */
public class ZoneEvacuations(
    private val clock: MonotonicClock,
    private val events: EventLog,
    meters: MeterRegistry
) {
    private var state = EvacuationState()

    /** Since which revision each evacuated zone has been so here. */
    private val sinceRevision = HashMap<String, EvacuationRevision>()

    /** Called with the evacuated zones and those that have returned, after a change. */
    public var onChange: (evacuated: Set<String>, returned: Set<String>) -> Unit = { _, _ -> }

    init {
        meters.gauge("cactusfold.zones.evacuated", this) { it.zones.size.toDouble() }
    }

    /** The evacuated zones, with the revision since which each has been so. */
    public val zones: Map<String, EvacuationRevision> get() = sinceRevision

    /** The revision that is applied; null before the rows have been read. */
    public val revision: EvacuationRevision? get() = state.revision

    /** Applies a [read] of the table of the configuration; [isSnapshot] if it shows all rows. */
    public fun read(read: FeedResult.Changes, isSnapshot: Boolean) {
        val revision = EvacuationRevision(read.era, read.position)
        val latest = read.rows.mapNotNull { row ->
            EvacuationRows.zoneOf(row.sort)?.let { it to row }
        }
            .toMap()
        val present = latest.filterValues { it.value != null }.keys
        val next = if (isSnapshot) {
            state.snapshot(present, revision, clock.nowMillis())
        } else {
            state.changed(present, latest.keys - present, revision)
        }
        apply(next, "store")
    }

    /** Applies what another process, [source], told. */
    public fun heard(message: EvacuatedZones, source: String): Unit =
        apply(state.heard(stateOf(message), clock.nowMillis()), source)

    /** Takes over the zones that a member holds since the store has lost their rows. */
    public fun reported(message: EvacuatedZones, member: String) {
        if (message.heldCount == 0) return
        val held = stateOf(message)
        // A member does not tell which other rows there are.
        val known = held.copy(revision = minOf(held.revision!!, state.revision ?: return))
        apply(state.heard(known.copy(zones = state.zones), clock.nowMillis()), member)
    }

    /** Ends the holding of zones whose time is over. */
    public fun expire(): Unit = apply(state.expired(clock.nowMillis()), "time")

    /** Returns what a coordinator tells its members; null if nothing is known. */
    public fun message(): EvacuatedZones? = report()?.toBuilder()?.addAllZones(state.zones)?.build()

    /** Returns what a member tells its coordinator that it applies; null if nothing is known. */
    public fun report(): EvacuatedZones? {
        val revision = state.revision ?: return null
        val nowMillis = clock.nowMillis()
        val held = state.heldUntilMillis.map { (zone, untilMillis) ->
            HeldZone.newBuilder().setZone(zone).setLeftMillis(untilMillis - nowMillis).build()
        }
        return EvacuatedZones.newBuilder().setEra(revision.era).setPosition(revision.position)
            .addAllHeld(held).addAllReleased(state.released).build()
    }

    private fun stateOf(message: EvacuatedZones): EvacuationState {
        val nowMillis = clock.nowMillis()
        return EvacuationState(
            message.revision,
            message.zonesList.toPersistentSet(),
            message.heldList.associate { it.zone to nowMillis + it.leftMillis }.toPersistentMap(),
            message.releasedList.toPersistentSet()
        )
    }

    private fun apply(next: EvacuationState, source: String) {
        val before = state.evacuated
        val heldBefore = state.heldUntilMillis.keys
        state = next
        val evacuated = next.evacuated
        (next.heldUntilMillis.keys - heldBefore).forEach {
            events.write("zone-evacuation-unconfirmed", "zone" to it, "source" to source)
        }
        if (evacuated == before) return
        val returned = before - evacuated
        sinceRevision -= returned
        (evacuated - before).forEach {
            next.revision?.let { revision -> sinceRevision[it] = revision }
            events.write(
                "zone-evacuated",
                "zone" to it,
                "source" to source,
                "era" to next.revision?.era,
                "position" to next.revision?.position
            )
        }
        returned.forEach { events.write("zone-returned", "zone" to it, "source" to source) }
        onChange(evacuated, returned)
    }

    public companion object {
        /** The revision that a message is about. */
        public val EvacuatedZones.revision: EvacuationRevision
            get() = EvacuationRevision(era, position)
    }
}
