package cactusfold.decisions.holding

import cactusfold.decisions.Seeds
import kotlin.random.Random
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

/**
 * Processes that hold one lease through a row with conditional writes, while processes are paused,
 * cut off from the store and restarted, and replies are lost. No two of them ever act within the
 * quiet time of each other, and fences only rise.
 */
class CoordinatorLeaseRandomisedTest {
    private val times =
        CoordinatorLeaseSettings(validMillis = 2_000, quietMillis = 3_000, marginMillis = 250)

    @Test
    fun `orders of two holders never come within the quiet time`() = Seeds.each { random ->
        Fleet(random, times).run()
    }

    private class Row(var record: CoordinatorLeaseRecord?)

    private class Pending(
        val record: CoordinatorLeaseRecord,
        val onVersion: Long,
        val dueMillis: Long
    )

    private class Process(val name: String) {
        var state: CoordinatorLeaseState = CoordinatorLeaseState.Standby()
        var pausedUntil = 0L
        var cutUntil = 0L
        var nextStepMillis = 0L
        var incarnation = 0
        val self get() = "$name-$incarnation"
    }

    private class Fleet(private val random: Random, private val times: CoordinatorLeaseSettings) {
        private val machine = CoordinatorLeaseMachine(times)
        private val row = Row(null)
        private val late = mutableListOf<Pending>()
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
                trouble(now)
                applyLate(now)
                processes.filter { it.pausedUntil <= now && it.nextStepMillis <= now }
                    .forEach { step(it, now) }
            }
        }

        private fun trouble(now: Long) {
            val one = processes.random(random)
            when (random.nextInt(400)) {
                0 -> one.pausedUntil = now + random.nextLong(8_000)
                1 -> one.cutUntil = now + random.nextLong(8_000)
                2 -> {
                    one.incarnation++
                    one.state = CoordinatorLeaseState.Standby()
                }
            }
        }

        private fun applyLate(now: Long) {
            val due = late.filter { it.dueMillis <= now }
            late.removeAll(due)
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
            if (process.cutUntil > now) return
            when (val state = process.state) {
                is CoordinatorLeaseState.LeaseHolder -> renew(process, state, now)
                is CoordinatorLeaseState.Standby -> watch(process, now)
            }
        }

        private fun act(process: Process, now: Long) {
            if (!machine.mayAct(process.state, now)) return
            val fence = (process.state as CoordinatorLeaseState.LeaseHolder).fence
            if (lastVm != null && lastVm != process.name) {
                assertTrue(now - lastActedMillis >= times.quietMillis, "two act at $now")
            }
            if (lastActor != process.self) {
                assertTrue(fence > lastFence, "fence $fence after $lastFence")
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
                    isSettled = isSettled
                )
            // A holder ceases to act before it says so.
            if (isReleasing) process.state = CoordinatorLeaseState.Standby()
            val isLost = random.nextInt(10) == 0
            if (isLost && random.nextBoolean()) {
                late += Pending(record, state.version, now + random.nextLong(6_000))
                return
            }
            val version = write(record, state.version)
            if (isReleasing) return
            process.state = when {
                version == null || isLost -> machine.conflicted(
                    state,
                    row.record,
                    process.self,
                    now
                )
                else -> machine.renewed(state, version, now)
            }
        }

        /** A process knows the end of one that ran on its VM before it. */
        private fun read(process: Process): CoordinatorLeaseRecord? = row.record?.let {
            val isOwnVm = it.holder.startsWith("${process.name}-")
            val isEnded = isOwnVm && it.holder != process.self
            it.copy(isOwnVm = isOwnVm, isReleased = it.isReleased || isEnded)
        }

        /** Now and then a holder's word of its last renewal comes through, however late. */
        private fun hear(process: Process) {
            if (random.nextInt(3) != 0) return
            val holding = processes.map {
                it.state
            }.filterIsInstance<CoordinatorLeaseState.LeaseHolder>()
            val told = holding.randomOrNull(random) ?: return
            val renewal = AnnouncedRenewal(told.version, told.confirmedAtMillis)
            process.state = machine.heard(process.state, renewal)
        }

        private fun watch(process: Process, now: Long) {
            hear(process)
            val state = machine.observed(process.state, read(process), now)
            process.state = state
            if (state !is CoordinatorLeaseState.Standby || !machine.mayTakeOver(state, now)) return
            val record = CoordinatorLeaseRecord(
                process.self,
                machine.nextFence(state),
                0,
                isReleased = false,
                isSettled = machine.canActImmediately(state)
            )
            val version = write(record, state.record?.version ?: 0) ?: return
            if (random.nextInt(10) != 0) process.state = machine.took(state, version, now, now)
        }
    }
}
