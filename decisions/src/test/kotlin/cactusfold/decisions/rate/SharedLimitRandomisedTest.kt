package cactusfold.decisions.rate

import cactusfold.seeds.Seeds
import kotlin.random.Random
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/**
 * Simulates members that send to one upstream whose limit they share: members join, leave, freeze
 * and lose contact, replies are late, and the coordinator changes or is lost for a while. In no
 * window may the upstream get more than the users tolerate, over all members.
 */
class SharedLimitRandomisedTest {
    private class Reply(val answer: GrantResponse, val askedAtMillis: Long, val atMillis: Long)

    private class Member(val name: String, var state: TokenGrantState) {
        var frozenUntilMillis = 0L
        var cutUntilMillis = 0L
        var nextHeartbeatAtMillis = 0L
        val replies = mutableListOf<Reply>()
    }

    private class Fleet(val random: Random, memberCount: Int, val limit: RateLimit) {
        val rate = limit.rateTokensPerSecond
        val sentAtMillis = mutableListOf<Long>()
        var now = 0L
        var members = emptyList<Member>()
        private var settings = TokenGrantSettings(contactMillis = 1_000, registryFreshMillis = 0)
        private var nextName = 1
        private var bucket: BucketState? = null
        private var coordinatorBackAtMillis = 0L
        private val machine get() = BucketMachine(settings.copy(registryFreshMillis = 8_000))

        init {
            members = List(memberCount) { newMember() }
            resize()
        }

        private fun newMember(): Member {
            // Before registration counts, a member has no reserve.
            val start = TokenGrantSpender(settings).start(limit, now + REGISTRATION_MILLIS)
            return Member("m${nextName++}", start)
        }

        private fun resize() {
            settings = settings.copy(routerSlots = members.size.coerceAtLeast(4))
            bucket = bucket?.let { machine.registered(it, registry(), now) }
        }

        private fun registry() = RouterRegistry(members.mapTo(mutableSetOf()) { it.name }, now)

        fun loseCoordinator(forMillis: Long) {
            bucket = null
            coordinatorBackAtMillis = now + forMillis
        }

        /** Replaces a member by another one at the same position. */
        fun replaceMember() {
            val leaving = members.random(random)
            members = members.map { if (it === leaving) newMember() else it }
            resize()
        }

        fun step(demandShare: Double) {
            now += random.nextLong(1, 20)
            if (bucket == null && now >= coordinatorBackAtMillis) {
                bucket = machine.startEmpty(limit, registry(), 0.0, now)
            }
            bucket = bucket?.let { machine.registered(it, registry(), now) }
            members.forEachIndexed { position, member ->
                if (now < member.frozenUntilMillis) return@forEachIndexed
                heartbeat(member)
                takeReplies(member)
                if (random.nextDouble() < demandShare) request(member, position)
            }
        }

        private fun heartbeat(member: Member) {
            val current = bucket ?: return
            if (now < member.cutUntilMillis || now < member.nextHeartbeatAtMillis) return
            member.nextHeartbeatAtMillis = now + HEARTBEAT_MILLIS
            bucket = machine.heard(current, member.name, member.name, now)
            member.state = TokenGrantSpender(settings).contacted(member.state, now)
        }

        private fun takeReplies(member: Member) {
            val arrived = member.replies.filter { it.atMillis <= now }
            member.replies -= arrived.toSet()
            for (reply in arrived) {
                member.state = TokenGrantSpender(settings).contacted(member.state, now)
                val validMillis = limit.useWithinMillis ?: settings.grantValidMillis
                val isValid = now - reply.askedAtMillis < validMillis
                if (reply.answer is GrantResponse.Granted && isValid) sentAtMillis += now
            }
        }

        private fun request(member: Member, position: Int) {
            val spender = TokenGrantSpender(settings, position)
            val step = spender.spend(member.state, 1, now, mayUseReserve = true)
            member.state = step.state
            if (step.outcome == SpendOutcome.Admitted) {
                sentAtMillis += now
                return
            }
            val current = bucket ?: return
            if (now < member.cutUntilMillis) return
            val taken = machine.take(current, member.name, member.name, 1, now)
            bucket = taken.state
            if (taken.answer is GrantResponse.Wait) bucket = machine.promise(taken.state, 1.0)
            val isLate = random.nextInt(20) == 0
            val delayMillis = if (isLate) random.nextLong(1_500) else random.nextLong(1, 30)
            member.replies += Reply(taken.answer, now, now + delayMillis)
        }

        fun checkWindows(windowMillis: Long = WINDOW_MILLIS) {
            val allowed = 1.5 * windowMillis / 1_000 * rate + 5
            sentAtMillis.forEachIndexed { first, atMillis ->
                val next = sentAtMillis.getOrNull(first + allowed.toInt()) ?: return
                assertTrue(
                    next - atMillis >= windowMillis,
                    "over $allowed requests in $windowMillis ms at $atMillis, " +
                        "$rate a second, ${members.size} members"
                )
            }
        }
    }

    private fun fleet(random: Random) = Fleet(
        random,
        listOf(1, 5, 14, 15, 40).random(random),
        RateLimit.ofRequests(listOf(0.0, 0.2, 1.0, 3.0, 10.0, 50.0, 300.0).random(random))
    )

    @Nested
    inner class Bound {
        @Test
        fun `the limit is kept while the coordinator changes`() = Seeds.each { random ->
            val fleet = fleet(random)
            repeat(STEPS) {
                if (random.nextInt(400) == 0) fleet.loseCoordinator(random.nextLong(0, 12_000))
                fleet.step(demandShare = 0.5)
            }
            fleet.checkWindows()
        }

        @Test
        fun `the limit is kept while members freeze, lose contact and are replaced`() =
            Seeds.each { random ->
                val fleet = fleet(random)
                repeat(STEPS) {
                    val member = fleet.members.random(random)
                    when (random.nextInt(600)) {
                        0 -> member.frozenUntilMillis = fleet.now + random.nextLong(6_000)
                        1 -> member.cutUntilMillis = fleet.now + random.nextLong(10_000)
                        2 -> fleet.replaceMember()
                        3 -> fleet.loseCoordinator(random.nextLong(0, 6_000))
                    }
                    fleet.step(demandShare = random.nextDouble())
                }
                fleet.checkWindows()
            }
    }

    /** Guards against a crash of a cold upstream by what the VMs send together in one second. */
    @Nested
    inner class ColdUpstream {
        private fun coldFleet(random: Random) = Fleet(
            random,
            listOf(1, 14, 40, 137).random(random),
            ColdState.limit(listOf(0.5, 2.0, 5.7, 20.0).random(random), ColdBounds(1.5, 5.0))
        )

        @Test
        fun `the bound of a second is kept while VMs wake, are cut off or lose the coordinator`() =
            Seeds.each { random ->
                val fleet = coldFleet(random)
                repeat(STEPS / 2) {
                    val member = fleet.members.random(random)
                    when (random.nextInt(400)) {
                        0 -> member.frozenUntilMillis = fleet.now + random.nextLong(6_000)
                        1 -> member.cutUntilMillis = fleet.now + random.nextLong(10_000)
                        2 -> fleet.replaceMember()
                        3 -> fleet.loseCoordinator(random.nextLong(0, 8_000))
                    }
                    fleet.step(demandShare = random.nextDouble())
                }
                fleet.checkWindows(windowMillis = 1_000)
            }

        @Test
        fun `the bound of a second is kept while all members lose contact one by one`() =
            Seeds.each { random ->
                val fleet = coldFleet(random)
                while (fleet.now < 12_000) fleet.step(demandShare = 0.5)
                fleet.members.forEach {
                    it.cutUntilMillis = fleet.now + 30_000
                    repeat(random.nextInt(5)) { fleet.step(demandShare = 0.5) }
                }
                val untilMillis = fleet.now + 20_000
                while (fleet.now < untilMillis) fleet.step(demandShare = 0.9)
                fleet.checkWindows(windowMillis = 1_000)
            }
    }

    @Nested
    inner class Use {
        @Test
        fun `nearly all that the limit allows is used, also with a change of the coordinator`() =
            Seeds.each { random ->
                val fleet = fleet(random)
                val useMillis = maxOf(USE_MILLIS, (USE_REQUESTS / fleet.rate * 1_000).toLong())
                while (fleet.now < useMillis / 2) fleet.step(demandShare = 0.7)
                fleet.loseCoordinator(2_500)
                while (fleet.now < useMillis) fleet.step(demandShare = 0.7)
                val expected = fleet.rate * useMillis / 1_000
                // Each member asks about 70 times a second.
                val possible = minOf(expected, fleet.members.size * 50.0 * useMillis / 1_000)
                val used = fleet.sentAtMillis.size
                assertTrue(used >= 0.7 * possible, "$used of $possible requests, ${fleet.rate}/s")
            }

        @Test
        fun `one member that lost contact leaves nearly all to the others`() =
            Seeds.each { random ->
                val fleet = Fleet(random, 14, RateLimit.ofRequests(1.0))
                fleet.members.first().cutUntilMillis = Long.MAX_VALUE
                while (fleet.now < USE_MILLIS) fleet.step(demandShare = 0.7)
                val used = fleet.sentAtMillis.size
                assertTrue(used >= 0.7 * USE_MILLIS / 1_000, "only $used requests")
            }

        @Test
        fun `without a coordinator the members take turns`() = Seeds.each { random ->
            val fleet = Fleet(random, 14, RateLimit.ofRequests(1.0))
            while (fleet.now < 15_000) fleet.step(demandShare = 0.7)
            fleet.loseCoordinator(Long.MAX_VALUE / 2)
            while (fleet.now < 20_000) fleet.step(demandShare = 0.7)
            val before = fleet.sentAtMillis.size
            while (fleet.now < 20_000 + USE_MILLIS) fleet.step(demandShare = 0.7)
            val used = fleet.sentAtMillis.size - before
            assertTrue(used >= 0.7 * USE_MILLIS / 1_000, "only $used requests")
            fleet.checkWindows()
        }
    }

    private companion object {
        const val STEPS = 6_000
        const val USE_MILLIS = 20_000L

        /** Requests that a limit has to allow before a share of them can be compared. */
        const val USE_REQUESTS = 20
        const val WINDOW_MILLIS = 4_000L
        const val HEARTBEAT_MILLIS = 400L
        const val REGISTRATION_MILLIS = 8_000L
    }
}
