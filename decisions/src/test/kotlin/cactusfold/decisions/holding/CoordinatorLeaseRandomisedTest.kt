package cactusfold.decisions.holding

import cactusfold.seeds.Seeds
import kotlin.random.Random
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

/**
 * Simulates processes that compete for one lease, stored as a row with conditional writes, while
 * processes are paused, cut off from the store and restarted and replies are lost. In the runs with
 * a restored store, it loses the writes of some seconds at times and gives out versions again.
 * Actions of processes on different VMs must be at least the quiet period apart, and fences must
 * rise with each new holder.
 */
class CoordinatorLeaseRandomisedTest {
    private val times =
        CoordinatorLeaseSettings(ttlMillis = 2_000, quietMillis = 3_000, marginMillis = 250)

    @Test
    fun `actions of holders on two VMs are a quiet period apart`() = Seeds.each { random ->
        Fleet(random, times, restoresStore = false).run()
    }

    @Test
    fun `they are a quiet period apart when the store comes back from an older copy`() =
        Seeds.each { random -> Fleet(random, times, restoresStore = true).run() }

    private class Row(var record: CoordinatorLeaseRecord?)

    private class Pending(
        val record: CoordinatorLeaseRecord,
        val onVersion: Long,
        val dueMillis: Long
    )

    private class Copy(val atMillis: Long, val record: CoordinatorLeaseRecord?, val versions: Long)

    private class Process(val name: String) {
        var era = 0L
        var state: CoordinatorLeaseState = CoordinatorLeaseState.Standby()
        var pausedUntil = 0L
        var disconnectedUntil = 0L
        var nextStepMillis = 0L
        var incarnation = 0
        val self get() = "$name-$incarnation"
    }

    private class Fleet(
        private val random: Random,
        private val times: CoordinatorLeaseSettings,
        private val restoresStore: Boolean
    ) {
        private val copies = ArrayDeque<Copy>()
        private var era = 1L
        private val machine = CoordinatorLeaseMachine(times)
        private val row = Row(null)
        private val pendingWrites = mutableListOf<Pending>()
        private val processes = List(4) { Process("p$it") }
        private var lastVm: String? = null
        private var lastActor: String? = null
        private var lastActedMillis = Long.MIN_VALUE / 2
        private var lastFence = 0L
        private var versions = 0L

        fun run() {
            var now = 0L
            while (now < 120_000) {
                now += 50
                injectFault(now)
                if (restoresStore) restoreAtTimes(now)
                applyLate(now)
                processes.filter { it.pausedUntil <= now && it.nextStepMillis <= now }
                    .forEach { step(it, now) }
            }
        }

        private fun injectFault(now: Long) {
            val target = processes.random(random)
            when (random.nextInt(400)) {
                0 -> target.pausedUntil = now + random.nextLong(8_000)
                1 -> target.disconnectedUntil = now + random.nextLong(8_000)
                2 -> {
                    target.incarnation++
                    target.state = CoordinatorLeaseState.Standby()
                }
            }
        }

        /** Keeps copies of the row, and at times puts one of them in force. */
        private fun restoreAtTimes(now: Long) {
            copies.addLast(Copy(now, row.record, versions))
            while (now - copies.first().atMillis > MAX_LOST_MILLIS) copies.removeFirst()
            if (random.nextInt(200) != 0) return
            val copy = copies.random(random)
            row.record = copy.record
            versions = copy.versions
            copies.clear()
            copies.addLast(Copy(now, row.record, versions))
            era++
        }

        private fun applyLate(now: Long) {
            val due = pendingWrites.filter { it.dueMillis <= now }
            pendingWrites.removeAll(due)
            due.forEach { write(it.record, it.onVersion) }
        }

        private fun write(record: CoordinatorLeaseRecord, onVersion: Long): Long? {
            if ((row.record?.version ?: 0) != onVersion) return null
            versions++
            row.record = record.copy(version = versions)
            return versions
        }

        private fun step(process: Process, now: Long) {
            act(process, now)
            process.nextStepMillis = now + random.nextLong(50, 800)
            if (process.disconnectedUntil > now) return
            when (val state = process.state) {
                is CoordinatorLeaseState.LeaseHolder -> renew(process, state, now)
                is CoordinatorLeaseState.Standby -> watch(process, now)
            }
        }

        private fun act(process: Process, now: Long) {
            if (!machine.mayAct(process.state, now)) return
            val fence = (process.state as CoordinatorLeaseState.LeaseHolder).fence
            if (lastVm != null && lastVm != process.name) {
                assertTrue(now - lastActedMillis >= times.quietMillis, "two holders act at $now")
            }
            if (lastActor != process.self) {
                assertTrue(fence > lastFence, "fence $fence must be above $lastFence")
            }
            lastVm = process.name
            lastActor = process.self
            lastActedMillis = now
            lastFence = fence
        }

        private fun renew(process: Process, state: CoordinatorLeaseState.LeaseHolder, now: Long) {
            val isReleasing = random.nextInt(60) == 0
            val isSettled = now >= state.actsFromMillis
            val record =
                CoordinatorLeaseRecord(
                    process.self,
                    state.fence,
                    0,
                    isReleasing,
                    isSettled = isSettled,
                    era = process.era
                )
            // A holder stops acting before it releases the lease.
            if (isReleasing) process.state = CoordinatorLeaseState.Standby()
            val isLost = random.nextInt(10) == 0
            if (isLost && random.nextBoolean()) {
                pendingWrites += Pending(record, state.version, now + random.nextLong(6_000))
                return
            }
            val version = write(record, state.version)
            if (isReleasing) return
            process.state = when {
                version != null && !isLost && process.era != era -> machine.displaced()
                version == null || isLost -> machine.conflicted(
                    state,
                    row.record,
                    process.self,
                    now,
                    isSameEra = process.era == era
                )
                else -> machine.renewed(state, version, now)
            }
            process.era = era
        }

        /** Reads the row. A process knows that the previous one on its VM has ended. */
        private fun read(process: Process): CoordinatorLeaseRecord? = row.record?.let {
            val isOwnVm = it.holder.startsWith("${process.name}-")
            val isEnded = isOwnVm && it.holder != process.self
            it.copy(isOwnVm = isOwnVm, isReleased = it.isReleased || isEnded)
        }

        /** In one of three cases delivers the announcement of a holder's last renewal. */
        private fun hear(process: Process) {
            if (random.nextInt(3) != 0) return
            val announcing = processes.filter { it.state is CoordinatorLeaseState.LeaseHolder }
                .randomOrNull(random) ?: return
            val held = announcing.state as CoordinatorLeaseState.LeaseHolder
            val renewal = AnnouncedRenewal(held.version, held.confirmedAtMillis, announcing.era)
            process.state = machine.heard(process.state, renewal)
        }

        private fun watch(process: Process, now: Long) {
            hear(process)
            process.era = era
            val state = machine.observed(process.state, read(process), now, era)
            process.state = state
            if (state !is CoordinatorLeaseState.Standby || !machine.mayTakeOver(state, now)) return
            val record = CoordinatorLeaseRecord(
                process.self,
                machine.nextFence(state),
                0,
                isReleased = false,
                isSettled = machine.canActImmediately(state),
                era = era
            )
            val version = write(record, state.record?.version ?: 0) ?: return
            if (random.nextInt(10) != 0) process.state = machine.took(state, version, now, now)
        }
    }

    private companion object {
        const val MAX_LOST_MILLIS = 6_000L
    }
}
