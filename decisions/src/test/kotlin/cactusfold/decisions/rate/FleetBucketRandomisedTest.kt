package cactusfold.decisions.rate

import cactusfold.seeds.Seeds
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Simulates routers that spend tokens of one bucket, with pauses, network partitions, lost replies,
 * outages of the store and takeovers of the bucket by another holder. All routers together must
 * never exceed the rate and burst of the workspace.
 */
class FleetBucketRandomisedTest {
    private val limit = RateLimit(rateTokensPerSecond = 1_000.0, burstTokens = 2_000.0)
    private val settings = TokenGrantSettings(routerSlots = 6, registryFreshMillis = 5_000)

    /** A single token bucket that checks the tokens spent by all routers together. */
    private class Reference(private val limit: RateLimit) {
        private var level = limit.burstTokens
        private var atMillis = 0L

        fun spend(tokens: Long, nowMillis: Long) {
            val gained = (nowMillis - atMillis) / 1_000.0 * limit.rateTokensPerSecond
            level = minOf(limit.burstTokens, level + gained) - tokens
            atMillis = nowMillis
            assertTrue(
                level > -0.5,
                "the workspace exceeded its rate and burst by ${-level} tokens at $nowMillis"
            )
        }
    }

    private class Reply(
        val answer: GrantResponse,
        val sentAtMillis: Long,
        val arrivesAtMillis: Long
    )

    private class RouterModel(var name: String, var state: TokenGrantState) {
        var pausedUntilMillis = 0L
        var partitionedUntilMillis = 0L
        val replies = mutableListOf<Reply>()
    }

    private inner class Fleet(val random: Random) {
        val limit = RateLimit(1_000.0, random.nextLong(200, 3_000).toDouble())
        val machine = BucketMachine(settings)
        val spender = TokenGrantSpender(settings)
        val reference = Reference(limit)
        var now = 0L
        var nextName = 1
        var admitted = 0L
        var readAtMillis = 0L
        var storeDownUntilMillis = 0L
        val routers = MutableList(4) { newRouter() }
        var bucket: BucketState? = machine.start(limit, registry(), 0)
        var holderBackAtMillis = 0L

        fun newRouter(): RouterModel = RouterModel("r${nextName++}", spender.start(limit, now))

        fun registry() = RouterRegistry(routers.mapTo(mutableSetOf()) { it.name }, readAtMillis)

        /**
         * Whether routers only prefetch, for 4 s at a time while the bucket fills. In the next 4 s
         * they all spend at once.
         */
        private val isPrefetching: Boolean get() = now / 4_000 % 2 == 0L

        private fun spendAll(router: RouterModel) {
            val tokens = router.state.unspentTokens
            if (tokens == 0L) return
            val step = spender.spend(router.state, tokens, now, true)
            router.state = step.state
            if (step.outcome == SpendOutcome.Admitted) {
                admitted += tokens
                reference.spend(tokens, now)
            }
        }

        private fun prefetch(router: RouterModel) {
            ask(router, 0)
        }

        fun step() {
            now += random.nextLong(1, 40)
            injectFault()
            readRegistry()
            for (router in routers) {
                if (now < router.pausedUntilMillis) continue
                takeReplies(router)
                when {
                    isPrefetching -> if (random.nextInt(10) == 0) prefetch(router)
                    random.nextInt(4) == 0 -> {
                        spendAll(router)
                        demand(router)
                    }
                }
            }
        }

        private fun readRegistry() {
            if (now < storeDownUntilMillis) return
            readAtMillis = now
            bucket = bucket?.let { machine.registered(it, registry(), now) }
        }

        private fun injectFault() {
            val router = routers.random(random)
            when (random.nextInt(600)) {
                0 -> router.pausedUntilMillis = now + random.nextLong(5_000)
                1 -> router.partitionedUntilMillis = now + random.nextLong(20_000)
                2 -> {
                    bucket = null
                    holderBackAtMillis =
                        now + if (random.nextBoolean()) 1 else random.nextLong(10_000)
                }
                3 -> storeDownUntilMillis = now + random.nextLong(10_000)
                4 -> if (now >= storeDownUntilMillis) replace(router)
            }
            if (bucket == null && now >= holderBackAtMillis && now >= storeDownUntilMillis) {
                readAtMillis = now
                bucket = machine.start(limit, registry(), now)
            }
        }

        /** Replaces the VM of a router; the new router has another name. */
        private fun replace(router: RouterModel) {
            routers.remove(router)
            routers += newRouter()
        }

        private fun takeReplies(router: RouterModel) {
            for (reply in router.replies.filter { it.arrivesAtMillis <= now }) {
                router.replies.remove(reply)
                router.state = when (val answer = reply.answer) {
                    is GrantResponse.Granted ->
                        spender.granted(router.state, answer.tokens, reply.sentAtMillis, now)
                    is GrantResponse.Wait -> spender.contacted(router.state, now)
                }
            }
        }

        private fun demand(router: RouterModel) {
            val tokens = random.nextLong(1, 100)
            val step = spender.spend(router.state, tokens, now, true)
            router.state = step.state
            when (val outcome = step.outcome) {
                SpendOutcome.Admitted -> {
                    admitted += tokens
                    reference.spend(tokens, now)
                }
                is SpendOutcome.GrantNeeded -> ask(router, outcome.tokens)
            }
        }

        private fun ask(router: RouterModel, tokens: Long) {
            val current = bucket ?: return
            if (now < router.partitionedUntilMillis) return
            router.state = router.state.copy(sequence = router.state.sequence + 1)
            val state = router.state
            val request = GrantRequest(
                router.name,
                router.name,
                state.sequence,
                tokens,
                if (random.nextInt(3) == 0) 0 else random.nextLong(4_000),
                state.spentTokens,
                state.returnedTokens
            )
            val step = machine.ask(current, request, now)
            bucket = step.state
            val isLost = random.nextInt(20) == 0
            if (!isLost) {
                val delay = if (random.nextInt(6) == 0) random.nextLong(3_000) else 1
                router.replies += Reply(step.answer, now, now + delay)
            }
        }
    }

    @Test
    fun `rate and burst are not exceeded under random faults`() = Seeds.each { random ->
        val fleet = Fleet(random)
        repeat(8_000) { fleet.step() }
        assertTrue(fleet.admitted > 0, "no tokens were admitted")
    }

    @Test
    fun `without faults a single router can use the whole rate`() {
        val machine = BucketMachine(settings)
        val spender = TokenGrantSpender(settings)
        val names = (1..6).mapTo(mutableSetOf()) { "r$it" }
        var bucket = machine.start(limit, RouterRegistry(names, 0), 0)
        var states = names.associateWith { spender.start(limit, 0) }
        var admitted = 0L
        for (now in 0L..60_000L step 10) {
            bucket = machine.registered(bucket, RouterRegistry(names, now), now)
            for (name in names) {
                val isBusy = name == "r1"
                if (!isBusy && now % 1_000 != 0L) continue
                val state = states.getValue(name).let { it.copy(sequence = it.sequence + 1) }
                val need = if (isBusy) 20L else 0L
                val request =
                    GrantRequest(name, name, state.sequence, need, 0, state.spentTokens, 0)
                val step = machine.ask(bucket, request, now)
                bucket = step.state
                val answer = step.answer
                states = states + (name to state)
                if (answer is GrantResponse.Granted && isBusy) {
                    val granted = spender.granted(state, answer.tokens, now, now)
                    states = states + (name to spender.spend(granted, need, now, false).state)
                    admitted += need
                }
            }
        }
        val expected = 60 * limit.rateTokensPerSecond
        assertTrue(admitted >= expected * 0.9, "only $admitted of $expected tokens were admitted")
    }
}
