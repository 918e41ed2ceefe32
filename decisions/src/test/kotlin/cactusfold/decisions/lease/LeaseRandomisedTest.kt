package cactusfold.decisions.lease

import cactusfold.seeds.Seeds
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/**
 * Simulates processes that lease shards through a shared table, with pauses, crashes, late and lost
 * replies, outages of the table and clocks that run at different speeds. Two processes must never
 * act for the same shard at the same time.
 */
class LeaseRandomisedTest {
    private val settings = LeaseSettings()
    private val shards = (1..8).mapTo(mutableSetOf()) { "s$it" }

    private class Table {
        val sessions = mutableMapOf<String, SessionRow>()
        val shards = mutableMapOf<String, ShardRow>()
        val highestFence = mutableMapOf<String, Long>()
        var isDown = false

        fun put(row: ShardRow) {
            val before = highestFence[row.shard] ?: 0
            assertTrue(row.fence > before, "the fence of ${row.shard} did not rise")
            highestFence[row.shard] = row.fence
            shards[row.shard] = row
        }
    }

    private inner class Process(
        val name: String,
        val table: Table,
        val random: Random,
        val speed: Double
    ) {
        val machine = LeaseMachine(settings)
        var state = LeaseState(name, random.nextLong(1, Long.MAX_VALUE))
        var resumesAtMillis = 0L
        var isDead = false
        private val pendingReplies = mutableListOf<Pair<Long, () -> Unit>>()

        fun clock(realMillis: Long): Long = (realMillis * speed).toLong()

        fun run(event: LeaseEvent, realMillis: Long) {
            val step = machine.step(state, event, clock(realMillis))
            state = step.state
            for (effect in step.effects) execute(effect, realMillis)
        }

        fun tick(realMillis: Long) {
            if (isDead || realMillis < resumesAtMillis) return
            val due = pendingReplies.filter { it.first <= realMillis }
            pendingReplies.removeAll(due)
            due.forEach { it.second() }
            run(LeaseEvent.Tick, realMillis)
            if (table.isDown) return
            if (random.nextInt(3) == 0) readWatched(realMillis)
            if (random.nextInt(30) == 0) read(realMillis)
        }

        private fun readWatched(realMillis: Long) {
            val rows = state.watchedSessions.associateWith { table.sessions[it] }
            val sentAt = clock(realMillis)
            reply(realMillis) { run(LeaseEvent.WatchedRead(sentAt, rows, emptySet()), now) }
            val shard = state.wanted.randomOrNull(random) ?: return
            table.shards[shard]?.let { run(LeaseEvent.ShardRead(it), realMillis) }
        }

        private fun read(realMillis: Long) {
            val sessions = table.sessions.values.toList()
            val shards = table.shards.values.toList()
            val sentAt = clock(realMillis)
            reply(realMillis) {
                run(LeaseEvent.TableRead(sentAt, sessions, shards, emptySet()), now)
            }
        }

        private fun execute(effect: LeaseEffect, realMillis: Long) {
            when (effect) {
                is LeaseEffect.Renew -> renew(effect, realMillis)
                is LeaseEffect.Take -> take(effect, realMillis)
                is LeaseEffect.Release -> release(effect)
                is LeaseEffect.Acquired, is LeaseEffect.Lost -> Unit
            }
        }

        /** Delivers a reply after a delay, which in one of 15 cases is up to 9 s. */
        private fun reply(realMillis: Long, deliver: () -> Unit) {
            val delay = if (random.nextInt(15) == 0) random.nextLong(9_000) else random.nextLong(20)
            pendingReplies += realMillis + delay to deliver
        }

        private fun renew(effect: LeaseEffect.Renew, realMillis: Long) {
            val sentAt = clock(realMillis)
            if (table.isDown) {
                return reply(realMillis) { run(LeaseEvent.RenewalFailed, maxOf(realMillis, now)) }
            }
            val row = table.sessions[name]
            if ((row?.counter ?: 0) != effect.counter - 1) {
                val found = row?.counter ?: 0
                return reply(realMillis) { run(LeaseEvent.CounterFound(found), now) }
            }
            table.sessions[name] =
                SessionRow(name, state.incarnation, effect.counter, effect.leaving)
            if (random.nextInt(20) == 0) {
                reply(realMillis) { run(LeaseEvent.RenewalFailed, now) }
            } else {
                reply(realMillis) { run(LeaseEvent.Renewed(sentAt, effect.counter), now) }
            }
        }

        private fun take(effect: LeaseEffect.Take, realMillis: Long) {
            val current = table.shards[effect.shard]?.fence ?: 0
            if (table.isDown || current != effect.expectedFence) {
                return reply(realMillis) { run(LeaseEvent.TakeFailed(effect.shard), now) }
            }
            table.put(ShardRow(effect.shard, effect.newFence, name, state.incarnation))
            reply(realMillis) { run(LeaseEvent.TakeSucceeded(effect.shard, effect.newFence), now) }
        }

        private fun release(effect: LeaseEffect.Release) {
            val row = table.shards[effect.shard]
            if (table.isDown || row?.fence != effect.fence) return
            table.put(ShardRow(effect.shard, effect.fence + 1, null, 0))
        }
    }

    private var now = 0L

    private fun holders(processes: List<Process>, shard: String): List<String> = processes
        .filter { !it.isDead && it.state.fenceOf(shard, it.clock(now)) != null }
        .map { it.name }

    @Test
    fun `at most one process at a time may act for a shard`() = Seeds.each { random ->
        now = 0
        val table = Table()
        val speeds = listOf(1.0, 1.005, 0.995, 1.0)
        val processes = speeds.mapIndexed { i, speed -> Process("p$i", table, random, speed) }
        processes.forEach { it.run(LeaseEvent.ShardsWanted(shards), 0) }
        repeat(3_000) {
            now += random.nextLong(1, 60)
            val target = processes.random(random)
            when (random.nextInt(150)) {
                0 -> target.resumesAtMillis = now + random.nextLong(15_000)
                1 -> table.isDown = !table.isDown
                2 -> if (processes.count { !it.isDead } > 2) target.isDead = true
                3 -> table.isDown = false
            }
            processes.forEach { it.tick(now) }
            for (shard in shards) {
                val holders = holders(processes, shard)
                assertTrue(holders.size <= 1, "$shard is held by $holders at $now")
            }
        }
    }

    @Test
    fun `every shard has a holder again after a crash`() {
        val random = Random(1)
        now = 0
        val table = Table()
        val processes = List(3) { Process("p$it", table, random, 1.0) }
        processes.forEach { it.run(LeaseEvent.ShardsWanted(shards), 0) }
        advance(processes, 30_000)
        assertTrue(shards.all { holders(processes, it).size == 1 }, "not all shards were taken")
        processes[0].isDead = true
        advance(processes, 30_000)
        assertTrue(shards.all { holders(processes, it).size == 1 }, "a dead holder kept its shards")
    }

    private fun advance(processes: List<Process>, millis: Long) {
        val end = now + millis
        while (now < end) {
            now += 50
            processes.forEach { it.tick(now) }
        }
    }

    @Test
    fun `a holder paused beyond its TTL loses its shard and a renewal does not restore it`() {
        val machine = LeaseMachine(settings)
        var state = LeaseState("a", 1, wanted = setOf("s"))
        fun run(event: LeaseEvent, nowMillis: Long): List<LeaseEffect> {
            val step = machine.step(state, event, nowMillis)
            state = step.state
            return step.effects
        }
        run(LeaseEvent.Tick, 0)
        run(LeaseEvent.Renewed(0, 1), 5)
        run(
            LeaseEvent.TableRead(10, listOf(SessionRow("a", 1, 1, false)), emptyList(), emptySet()),
            10
        )
        run(LeaseEvent.TakeSucceeded("s", 1), 15)
        assertEquals(1, state.fenceOf("s", 20))
        assertNull(state.fenceOf("s", 6_000), "the lease counts from sending the renewal")
        val effects = run(LeaseEvent.Renewed(20_000, 2), 20_010)
        assertEquals(listOf<LeaseEffect>(LeaseEffect.Lost("s", 1)), effects)
        assertNull(state.fenceOf("s", 20_020), "a renewal must not restore a lost shard")
    }

    @Test
    fun `the shard of an ended process on the same VM is taken before its TTL has passed`() {
        val machine = LeaseMachine(settings)
        val live = LeaseState("b", 2, 1, leaseExpiresAtMillis = 6_000, wanted = setOf("s"))
        val sessions = listOf(SessionRow("a", 1, 9, false), SessionRow("b", 2, 1, false))
        val rows = listOf(ShardRow("s", 4, "a", 1))
        val running = machine.step(live, LeaseEvent.TableRead(100, sessions, rows, emptySet()), 100)
        assertTrue(running.effects.none { it is LeaseEffect.Take }, "a live holder was replaced")
        val ended = machine.step(live, LeaseEvent.TableRead(100, sessions, rows, setOf("a")), 100)
        assertNotNull(ended.effects.find { it == LeaseEffect.Take("s", 4, 5) })
    }
}
