package cactusfold.decisions.streams

import cactusfold.seeds.Seeds
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/**
 * Simulates what the processes of a fleet know of streams that callers take up at other processes:
 * versions come and go, the route of the streams moves between two services, one, some or all
 * processes are killed, the coordinator is lost, and the store is away or comes back from an older
 * copy.
 */
class StreamOriginRandomisedTest {
    private class Stream(val id: String, val origin: StreamOrigin, val beganAtMillis: Long)

    private class Member {
        var ledger = StreamLedger()
        var recorded = emptySet<StreamOrigin>()
        var needsReports = true
        val unsent = mutableSetOf<String>()
    }

    /** The record of a service, with the era in which it was written. */
    private data class StoredRecord(val record: VersionRecord, val era: Int)

    /** The store's rows. */
    private data class Rows(
        val records: Map<String, StoredRecord>,
        val streams: Map<String, KnownStream>
    )

    private class Coordinator(
        var records: Map<String, VersionRecord>,
        val unsaved: MutableSet<String>,
        var ledger: StreamLedger
    ) {
        val unwritten = mutableMapOf<String, KnownStream>()
    }

    private class Fleet(private val random: Random) {
        var now = 0L
        var serving = setOf("v1")
        private var routed = "s1"
        var members = List(MEMBERS) { Member() }
        val broken = mutableListOf<Stream>()
        var wentOn = 0
        var servable = 0
        var wrong = 0
        private var rows = Rows(emptyMap(), emptyMap())
        private val copies = mutableListOf(rows)
        private var era = 0
        private var awayUntilMillis = 0L
        private var coordinator: Coordinator? = null
        private var coordinatorBackAtMillis = 0L
        private var nextStream = 1
        private val isAway get() = now < awayUntilMillis

        fun step(isUndisturbed: Boolean = false) {
            now += STEP_MILLIS
            if (!isUndisturbed) disturb()
            coordinate()
            repeat(random.nextInt(3)) { begin() }
            broken.filter { random.nextInt(4) == 0 }.forEach(::takeUp)
            broken.removeAll { now - it.beganAtMillis > RETURN_MILLIS }
        }

        private fun disturb(): Unit = when (random.nextInt(250)) {
            0 -> serving = serving + VERSIONS.random(random)
            1 -> serving = (serving - serving.random(random)).ifEmpty { serving }
            2 -> serving = setOf(VERSIONS.random(random))
            3 -> kill(1)
            4 -> kill(random.nextInt(MEMBERS))
            5 -> kill(MEMBERS)
            6 -> loseCoordinator()
            7 -> awayUntilMillis = now + random.nextLong(4_000)
            8 -> restore()
            9 -> routed = SERVICES.random(random)
            else -> Unit
        }

        /** Kills members; the coordinator is one of them, as likely as any other. */
        fun kill(count: Int) {
            if (random.nextInt(MEMBERS) < count) loseCoordinator()
            members = List(count) { Member() } + members.drop(count)
        }

        fun loseCoordinator() {
            coordinator = null
            coordinatorBackAtMillis = now + random.nextLong(3_000)
        }

        private fun restore() {
            rows = copies.random(random)
            era++
            // A coordinator that renews its lease in another era has lost it.
            loseCoordinator()
        }

        private fun write(next: Rows): Boolean {
            if (isAway) return false
            rows = next
            copies += next
            if (copies.size > COPIES) copies.removeAt(0)
            return true
        }

        private fun coordinate() {
            if (coordinator == null && now >= coordinatorBackAtMillis && !isAway) start()
            val current = coordinator ?: return
            (current.records.keys + routed).forEach { record(current, it) }
            announceAndCollect(current)
            if (current.unwritten.isNotEmpty() && random.nextInt(3) == 0) {
                if (write(rows.copy(streams = rows.streams + current.unwritten))) {
                    current.unwritten.clear()
                }
            }
        }

        private fun record(current: Coordinator, service: String) {
            val before = current.records[service] ?: VersionRecord.unknownBefore(now)
            val versions = if (service == routed) serving else emptySet()
            val next = before.seen(versions, now, KEPT_MILLIS)
            if (next == current.records[service] && service !in current.unsaved) return
            if (!write(rows.copy(records = rows.records + (service to StoredRecord(next, era))))) {
                return
            }
            current.records += service to next
            current.unsaved -= service
        }

        private fun start() {
            val records = rows.records.mapValues { (_, stored) -> readNow(stored) }
            val unsaved = rows.records.filterValues { it.era != era }.keys.toMutableSet()
            var ledger = StreamLedger()
            rows.streams.forEach { (id, stream) -> ledger = ledger.with(id, stream) }
            coordinator = Coordinator(records, unsaved, ledger)
            members.forEach { it.unsent += it.ledger.ids }
        }

        private fun announceAndCollect(current: Coordinator) {
            for (member in members.filter { random.nextInt(4) > 0 }) {
                for (id in member.unsent.toList().takeIf { member.needsReports }.orEmpty()) {
                    val stream = member.ledger.find(id) ?: continue
                    if (current.ledger.find(id) == null) current.unwritten[id] = stream
                    current.ledger = current.ledger.with(id, stream)
                    member.unsent -= id
                }
                member.recorded = current.records.flatMapTo(mutableSetOf()) { (service, record) ->
                    record.serving.map { StreamOrigin(service, it) }
                }
                member.needsReports = soleOrigin(current.records, now, KEPT_MILLIS) == null
            }
            current.ledger = current.ledger.withoutExpired(now)
        }

        private fun begin() {
            val member = members.random(random)
            val origin = serving.map { StreamOrigin(routed, it) }.filter { it in member.recorded }
                .randomOrNull(random) ?: return
            val stream = Stream("${nextStream++}", origin, now)
            val known = KnownStream(origin, now + KEPT_MILLIS)
            member.ledger = member.ledger.withoutExpired(now).with(stream.id, known)
            member.unsent += stream.id
            broken += stream
        }

        private fun takeUp(stream: Stream) {
            val origin = locate(members.random(random), stream.id)
            if (isServed(stream.origin)) servable++
            if (origin == null || !isServed(origin)) return
            if (origin == stream.origin) wentOn++ else wrong++
        }

        private fun isServed(origin: StreamOrigin): Boolean =
            origin.service == routed && origin.softwareVersion in serving

        private fun locate(member: Member, id: String): StreamOrigin? {
            member.ledger.find(id)?.let { return it.origin }
            val current = coordinator
            if (current != null && random.nextInt(20) > 0) {
                current.ledger.find(id)?.let { return it.origin }
                return soleOrigin(current.records, now, KEPT_MILLIS)
            }
            if (isAway) return null
            rows.streams[id]?.let { return it.origin }
            return soleOrigin(rows.records.mapValues { readNow(it.value) }, now, KEPT_MILLIS)
        }

        /** One that was written in an earlier era may lack versions until it is read. */
        private fun readNow(stored: StoredRecord): VersionRecord =
            if (stored.era == era) stored.record else stored.record.copy(completeSinceMillis = now)

        /** Number of streams that all processes know together. */
        val knownCount: Int
            get() = members.sumOf { it.ledger.withoutExpired(now).size } +
                (coordinator?.ledger?.withoutExpired(now)?.size ?: 0)
    }

    @Nested
    inner class Rule {
        @Test
        fun `no stream goes on at another version whatever is lost`() = Seeds.each { random ->
            val fleet = Fleet(random)
            repeat(STEPS) { fleet.step() }
            assertEquals(0, fleet.wrong)
        }
    }

    @Nested
    inner class Service {
        @Test
        fun `most streams go on after all processes were killed while two versions serve`() =
            Seeds.each { random ->
                val fleet = Fleet(random)
                repeat(100) { fleet.step(isUndisturbed = true) }
                fleet.serving = setOf("v1", "v2")
                repeat(100) { fleet.step(isUndisturbed = true) }
                fleet.kill(MEMBERS)
                fleet.wentOn = 0
                fleet.servable = 0
                repeat(100) { fleet.step(isUndisturbed = true) }
                assertTrue(fleet.servable > 20, "only ${fleet.servable} were taken up")
                assertTrue(
                    fleet.wentOn * 2 > fleet.servable,
                    "${fleet.wentOn} of ${fleet.servable}"
                )
                assertEquals(0, fleet.wrong)
            }

        @Test
        fun `nothing is known any more of streams to which no caller can return`() =
            Seeds.each { random ->
                val fleet = Fleet(random)
                repeat(STEPS) { fleet.step() }
                fleet.now += 2 * KEPT_MILLIS
                assertEquals(0, fleet.knownCount)
            }
    }

    private companion object {
        val SERVICES = listOf("s1", "s2")
        val VERSIONS = listOf("v1", "v2", "v3")
        const val MEMBERS = 14
        const val STEPS = 2_000
        const val STEP_MILLIS = 100L

        /** Time in which callers return to a stream, and that for which its origin is kept. */
        const val RETURN_MILLIS = 5_000L
        const val KEPT_MILLIS = 2 * RETURN_MILLIS

        /** Number of latest writes of which the store may come back with any. */
        const val COPIES = 10
    }
}
