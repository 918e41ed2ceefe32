package cactusfold.entry.fleet

import cactusfold.entry.process.EventLog
import cactusfold.entry.process.StoredRows
import cactusfold.ports.table.RowChange
import cactusfold.protocol.entry.Ability
import cactusfold.protocol.entry.MemberReport
import cactusfold.protocol.entry.StoredMember

/** What a build says that it can read and do. */
public object Abilities {
    /** Abilities of this build. */
    public val OWN: Set<Ability> = setOf(Ability.SHARED_NEWS, Ability.PASSING)

    /** Returns the abilities that [report] states, also by the fields of builds up to 0f50de0. */
    internal fun of(report: MemberReport): Set<Ability> =
        known(report.abilitiesList, Ability.SHARED_NEWS.takeIf { report.readsSharedNews })

    /** Returns the abilities that [member] states, also by the fields of builds up to 0f50de0. */
    internal fun of(member: StoredMember): Set<Ability> =
        known(member.abilitiesList, Ability.PASSING.takeIf { member.passingAddress.isNotEmpty() })

    /** Returns the stated abilities that this build knows. */
    internal fun known(stated: List<Ability>, derived: Ability? = null): Set<Ability> =
        (stated + listOfNotNull(derived)).filterTo(mutableSetOf(), ::isKnown)

    private fun isKnown(ability: Ability) =
        ability != Ability.UNRECOGNIZED && ability != Ability.ABILITY_UNKNOWN
}

/**
 * The abilities that all members of the fleet have, while this process is the coordinator.
 *
 * The least able member decides: each that is registered, also while it has no contact, and each
 * that is attached. So an ability ends when a member without it attaches or registers, and begins
 * when the last such row is replaced or removed.
 *
 * @param vm the name of this process's VM.
 */
internal class FleetAbilities(
    private val vm: String,
    private val storedRows: StoredRows,
    private val events: EventLog
) {
    private val rows = HashMap<String, RegisteredBuild>()
    private var isRead = false
    private var decided: FleetDecision? = null

    /** The abilities of all members; none until the members have been read. */
    val all: Set<Ability> get() = decided?.abilities.orEmpty()

    /** Returns the commit of process [boot] on [vm], or null if its row does not name it. */
    fun commitOf(vm: String, boot: String): String? = rows[vm]?.takeIf { it.boot == boot }?.commit

    /** Forgets all members, for a new term of the coordinator. */
    fun clear() {
        rows.clear()
        isRead = false
        decided = null
    }

    /** Records the [changes] that were read of the table of members. */
    fun read(changes: List<RowChange>) {
        isRead = true
        for (change in changes) {
            val value = change.value
            if (value == null) {
                rows -= change.sort
            } else {
                val member = decode(change, value)
                val commit = member.commit.ifEmpty { null }
                rows[change.sort] = RegisteredBuild(member.boot, commit, Abilities.of(member))
            }
        }
    }

    /** A row that cannot be read is that of a member without abilities. */
    private fun decode(change: RowChange, value: ByteArray): StoredMember = storedRows.decode(
        MemberRegistration.TABLE,
        change.sort,
        change.version,
        value,
        StoredMember::parseFrom
    ) ?: StoredMember.getDefaultInstance()

    /** Whether [session] may lack what all members have had so far, which cannot wait. */
    fun mayEnd(session: MemberSession): Boolean = !session.abilities.containsAll(all)

    /** Decides anew, with the members of [sessions]; returns whether [all] has changed. */
    fun decide(sessions: Collection<MemberSession>): Boolean {
        if (!isRead) return false
        val before = decided
        val next = leastAble(sessions.groupBy { it.vm })
        if (next == before) return false
        decided = next
        val missing = Abilities.OWN - next.abilities
        events.write(
            "fleet-abilities",
            "abilities" to next.abilities.joinToString(","),
            "missing" to missing.joinToString(",").ifEmpty { null },
            "least_able" to next.vm,
            "commit" to rows[next.vm]?.commit
        )
        return next.abilities != before?.abilities
    }

    private fun leastAble(attached: Map<String, List<MemberSession>>): FleetDecision {
        var common = Abilities.OWN
        var least: String? = null
        var leastMissing = 0
        for (member in rows.keys + attached.keys - vm) {
            val stated = abilitiesOf(member, attached[member].orEmpty())
            val missing = Abilities.OWN.count { it !in stated }
            if (missing == 0) continue
            common = common intersect stated
            val isLeast = missing > leastMissing
            if (isLeast || missing == leastMissing && member < least.orEmpty()) least = member
            leastMissing = maxOf(missing, leastMissing)
        }
        return FleetDecision(common, least)
    }

    private fun abilitiesOf(member: String, sessions: List<MemberSession>): Set<Ability> {
        val row = rows[member]
        if (sessions.isEmpty()) return row?.abilities.orEmpty()
        // The row may be that of the process before, or of one that has not attached yet.
        return sessions
            .map { if (it.boot == row?.boot) it.abilities + row.abilities else it.abilities }
            .reduce { a, b -> a intersect b }
    }
}

/** What a member's row says of its process [boot]. */
private class RegisteredBuild(val boot: String, val commit: String?, val abilities: Set<Ability>)

/** The [abilities] that all members have, and the [vm] of one that lacks most, if one does. */
private data class FleetDecision(val abilities: Set<Ability>, val vm: String?)
