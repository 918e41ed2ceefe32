package cactusfold.decisions.routing

import cactusfold.decisions.Rendezvous
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

class RunnerChoiceTest {
    private val choice = RunnerChoice(ExpectedTimes(zoneCrossingMillis = 1.0))
    private val idle = RunnerView("a", "z", 24)
    private val tip = RequestWork.of("m", 1_200, 60, emptyList())

    private val alone = ChoiceContext("z", vmCount = 1, nowMillis = 0)
    private var drawn = 0

    /** Draws each runner in turn, so that the sample holds all of a few. */
    private fun next(bound: Int): Int = drawn++ % bound

    private fun choose(vararg views: RunnerView): String? =
        choice.choose(views.toList(), tip, CachedPrefixes.NONE, alone, ::next)?.upstream

    @Nested
    inner class Estimates {
        @Test
        fun `requests of other VMs count although no answer to this one has shown them`() {
            val busy = idle.copy(upstream = "b", others = OtherUse(12, 9_000, 100))
            assertEquals("a", choose(busy, idle.copy(others = OtherUse(1, 900, 100))))
        }

        @Test
        fun `a stated load that is seconds old does not keep requests away`() {
            val stale = idle.copy(upstream = "b", stated = StatedLoad(20, 1.0, 10_000))
            assertEquals("b", choose(stale, idle.copy(inFlight = 2)))
        }

        @Test
        fun `a slowdown that was stated a moment ago counts, an old one does not`() {
            val slow = idle.copy(upstream = "b", stated = StatedLoad(0, 2.5, 20))
            assertEquals("a", choose(slow, idle.copy(inFlight = 2)))
            val recovered = slow.copy(stated = StatedLoad(0, 2.5, 3_000))
            assertEquals("b", choose(recovered, idle.copy(inFlight = 2)))
        }

        @Test
        fun `a runner without room for the tokens is not chosen while another has room`() {
            val full = idle.copy(upstream = "b", memoryTokens = 2_000, inFlightTokens = 1_500)
            assertEquals("a", choose(full, idle.copy(inFlight = 20, memoryTokens = 90_000)))
        }

        @Test
        fun `a runner without a free slot is not chosen while another has one`() {
            val full = idle.copy(upstream = "b", others = OtherUse(24, 0, 0))
            assertEquals("a", choose(full, idle.copy(others = OtherUse(20, 0, 0))))
            assertNull(choose(idle.copy(inFlight = 24)))
        }

        @Test
        fun `a runner that takes longer than the others is known to`() {
            val learned = (1..60).fold(1.0) { known, _ ->
                SpeedLearning.learned(known, SpeedLearning.ratio(200.0 * known, 320.0))
            }
            assertEquals(1.6, learned, 0.05)
            val slow = idle.copy(upstream = "b", speed = LearnedSpeed(learned, 100))
            assertEquals("a", choose(slow, idle.copy(speed = LearnedSpeed(1.0, 100))))
        }

        // Guards against the one of two equal runners that was used first being used always.
        @Test
        fun `an estimate that is wrong for all runners does not make the used ones look fast`() {
            val first = SpeedCalibration.START.learned(0.3)
            assertEquals(0.3, first.factor, 0.001)
            val later = (1..200).fold(first) { known, _ -> known.learned(2 / known.factor) }
            assertEquals(2.0, later.factor, 0.01)
        }
    }

    @Nested
    inner class Prefixes {
        private val runners = List(10) { "$it" }
        private val blocks = listOf(PromptBlock("s", 400), PromptBlock("t", 4_000))
        private val long = RequestWork.of("m", 5_000, 60, blocks)

        @Test
        fun `a cached prefix attracts requests as long as its holder is not much busier`() {
            val cached = PrefixCaches().locate(long, runners, 1, 0)
            fun chosen(inFlight: Int): ChosenRunner {
                val views = runners.map { id ->
                    val busy = if (id in cached.holders) inFlight else 0
                    idle.copy(upstream = id, others = OtherUse(busy, 0, 0))
                }
                return choice.choose(views, long, cached, alone, ::next)!!
            }
            assertEquals(ChoiceReason.PREFIX, chosen(3).reason)
            assertTrue(chosen(23).upstream !in cached.holders)
        }

        @Test
        fun `the holder of a long chain also has its beginning, and few hold it`() {
            val cached = PrefixCaches().locate(long, runners, 1, 0)
            assertEquals(2, cached.holders.size)
            assertEquals(3_960.0, cached.tokensAt(cached.holders.first()), 0.1)
        }

        @Test
        fun `a block that many requests share is not a reason to prefer a few runners`() {
            val caches = PrefixCaches()
            repeat(30) { caches.record(long, it * 500L) }
            val cached = caches.locate(long, runners, 84, 15_000)
            assertTrue(runners.all { cached.tokensAt(it) > 3_900 })
        }
    }

    @Nested
    inner class Fleet {
        private val popular = RequestWork.of("m", 1_200, 60, listOf(PromptBlock("p", 800)))

        private fun kinds(random: Random): RequestWork = when (random.nextInt(30)) {
            in 0..9 -> popular
            in 10..17 -> tip
            in 18..26 -> RequestWork.of("m", 900, 110, session(random, 300))
            else -> RequestWork.of("m", 4_000, 400, session(random, 1_500))
        }

        private fun session(random: Random, tokens: Long) =
            listOf(PromptBlock("s${random.nextInt(500)}", tokens))

        private fun estimated(vms: Int): LoopChoice {
            val random = Random(11)
            val caches = List(vms) { PrefixCaches() }
            return LoopChoice { vm, views, work, now ->
                val cached = caches[vm].locate(work, views.map { it.upstream }, vms, now)
                caches[vm].record(work, now)
                val context = ChoiceContext("z", vms, now)
                choice.choose(views, work, cached, context, random::nextInt)?.upstream
            }
        }

        /** The rule for plain services, by which runners were chosen before. */
        private fun byLoad(isLoadRead: Boolean = true): LoopChoice {
            val random = Random(11)
            val before = ReplicaChoice(zoneCrossingMillis = 1.0, affinityLoadGap = 0.1)
            return LoopChoice { _, views, work, now ->
                val replicas = views.map {
                    val running = it.stated?.requests?.takeIf { isLoadRead } ?: 0
                    ReplicaView(it.upstream, "z", 24, running, 0, it.inFlight, 100.0, 0)
                }
                val affinity = work.chains.firstOrNull()?.let { chain ->
                    Rendezvous.preferred(chain.key, views.map { it.upstream })
                }
                val picks = List(2) { random.nextInt(Int.MAX_VALUE) }
                before.choose(replicas, "z", affinity, picks[0], picks[1], now)?.upstream
            }
        }

        private fun loop(choice: LoopChoice, hasCoordinator: Boolean = true) =
            ChoiceLoop(63, 84, hasCoordinator).also { it.run(140.0, 8_000, ::kinds, choice) }

        // The busiest runner got 15 times the mean when a header with four figures was not read.
        @Test
        fun `84 VMs with a popular block do not overload one of 63 runners`() {
            val unread = loop(byLoad(isLoadRead = false))
            val before = loop(byLoad())
            val after = loop(estimated(84))
            assertTrue(unread.busiest > 4, "${unread.busiest}")
            assertTrue(before.busiest > 1.6, "${before.busiest}")
            assertTrue(after.busiest < 1.5, "${after.busiest}")
            assertTrue(after.medianFirstMillis <= before.medianFirstMillis)
        }

        // VMs then know the load of a runner only from answers that are half a minute old.
        @Test
        fun `without a coordinator the requests stay spread`() {
            val after = loop(estimated(84), hasCoordinator = false)
            assertTrue(after.busiest < 1.6, "${after.busiest}")
        }

        @Test
        fun `a runner that is slow for 600 ms gets fewer requests meanwhile`() {
            val short = RequestWork.of("m", 1_200, 30, emptyList())

            fun mean(choice: LoopChoice): Double {
                val loop = ChoiceLoop(2, 1) { runner, now ->
                    if (runner == 0 && now / 600 % 2 == 0L) 2.5 else 1.0
                }
                loop.run(30.0, 6_000, { short }, choice)
                return loop.firstMillis.average()
            }
            val before = mean(byLoad())
            val after = mean(estimated(1))
            assertTrue(after < 0.9 * before, "$after ms instead of $before ms")
        }
    }
}
