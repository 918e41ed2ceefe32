package cactusfold.decisions.rate

import cactusfold.decisions.Seeds
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Many routers and one holder at a time, with pauses, partitions, lost replies and takeovers. */
class FleetBucketRandomisedTest {
    private val limit = RateLimit(rateTokensPerSecond = 1_000.0, burstTokens = 2_000.0)
    private val settings = TokenGrantSettings(routerSlots = 6, registryFreshMillis = 5_000)

    /** The bucket that the workspace should see over all VMs together. */
    private class Reference(private val limit: RateLimit) {
        private var level = limit.burstTokens
        private var atMillis = 0L

        fun spend(tokens: Long, nowMillis: Long) {
            val gained = (nowMillis - atMillis) / 1_000.0 * limit.rateTokensPerSecond
            level = minOf(limit.burstTokens, level + gained) - tokens
            atMillis = nowMillis
            assertTrue(
                level > -0.5,
                "the workspace passed its rate and burst by ${-level} at $nowMillis"
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
        var partedUntilMillis = 0L
        val replies = mutableListOf<Reply>()
    }

    private inner class Fleet(val random: Random) {
        val limit = RateLimit(1_000.0, random.nextLong(200, 3_000).toDouble())
        val holder = BucketMachine(settings)
        val spender = TokenGrantSpender(settings)
        val reference = Reference(limit)
        var now = 0L
        var nextName = 1
        var admitted = 0L
        var readAtMillis = 0L
        var storeDownUntilMillis = 0L
        val routers = MutableList(4) { newRouter() }
        var bucket: BucketState? = holder.start(limit, registry(), 0)
        var holderBackAtMillis = 0L

        fun newRouter(): RouterModel = RouterModel("r${nextName++}", spender.start(limit, now))

        fun registry() = RouterRegistry(routers.mapTo(mutableSetOf()) { it.name }, readAtMillis)

        /** Quiet times fill the bucket, and routers ask in advance; then all spend at once. */
        private val isQuiet: Boolean get() = now / 4_000 % 2 == 0L

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

        private fun hoard(router: RouterModel) {
            ask(router, 0)
        }

        fun step() {
            now += random.nextLong(1, 40)
            faults()
            readRegistry()
            for (router in routers) {
                if (now < router.pausedUntilMillis) continue
                takeReplies(router)
                when {
                    isQuiet -> if (random.nextInt(10) == 0) hoard(router)
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
            bucket = bucket?.let { holder.registered(it, registry(), now) }
        }

        private fun faults() {
            val router = routers.random(random)
            when (random.nextInt(600)) {
                0 -> router.pausedUntilMillis = now + random.nextLong(5_000)
                1 -> router.partedUntilMillis = now + random.nextLong(20_000)
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
                bucket = holder.start(limit, registry(), now)
            }
        }

        /** A replaced VM's router comes under another name. */
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
            val held = bucket ?: return
            if (now < router.partedUntilMillis) return
            router.state = router.state.copy(sequence = router.state.sequence + 1)
            val state = router.state
            val ask = GrantRequest(
                router.name,
                router.name,
                state.sequence,
                tokens,
                if (random.nextInt(3) == 0) 0 else random.nextLong(4_000),
                state.spentTokens,
                state.returnedTokens
            )
            val step = holder.ask(held, ask, now)
            bucket = step.state
            val isLost = random.nextInt(20) == 0
            if (!isLost) {
                val delay = if (random.nextInt(6) == 0) random.nextLong(3_000) else 1
                router.replies += Reply(step.answer, now, now + delay)
            }
        }
    }

    @Test
    fun `no workspace passes its rate and burst whatever fails`() = Seeds.each { random ->
        val fleet = Fleet(random)
        repeat(8_000) { fleet.step() }
        assertTrue(fleet.admitted > 0, "nothing was admitted at all")
    }

    @Test
    fun `a fleet without faults admits the whole rate through any one router`() {
        val holder = BucketMachine(settings)
        val spender = TokenGrantSpender(settings)
        val names = (1..6).mapTo(mutableSetOf()) { "r$it" }
        var bucket = holder.start(limit, RouterRegistry(names, 0), 0)
        var states = names.associateWith { spender.start(limit, 0) }
        var admitted = 0L
        for (now in 0L..60_000L step 10) {
            bucket = holder.registered(bucket, RouterRegistry(names, now), now)
            for (name in names) {
                val isBusy = name == "r1"
                if (!isBusy && now % 1_000 != 0L) continue
                val state = states.getValue(name).let { it.copy(sequence = it.sequence + 1) }
                val need = if (isBusy) 20L else 0L
                val ask = GrantRequest(name, name, state.sequence, need, 0, state.spentTokens, 0)
                val step = holder.ask(bucket, ask, now)
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
        val due = 60 * limit.rateTokensPerSecond
        assertTrue(admitted >= due * 0.9, "only $admitted of $due tokens were admitted")
    }
}
