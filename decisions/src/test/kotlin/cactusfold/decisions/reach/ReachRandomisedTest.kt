package cactusfold.decisions.reach

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.seeds.Seeds
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertNull

/** Upstreams come, go, crash and fall silent; some links are cut; then all are, and none. */
class ReachRandomisedTest {
    private class Fleet(private val random: Random) {
        val all = ReachLoop.upstreams(random.nextInt(2, 12))

        /** An upstream that is reached all the time, so that the service is never cut off. */
        val sound = all.random(random)
        private val failing = HashMap<UpstreamStart, ReachFailureKind>()
        var cutKind: ReachFailureKind? = null

        fun answerOf(upstream: UpstreamStart): ReachFailureKind? = cutKind ?: failing[upstream]

        fun change() {
            val upstream = all.random(random)
            if (upstream == sound) return
            when (random.nextInt(3)) {
                0 -> failing[upstream] = PROBE_FAILURES.random(random)
                else -> failing.remove(upstream)
            }
        }

        fun usable(): List<UpstreamStart> = all.filter { it == sound || random.nextInt(6) > 0 }
    }

    private fun request(loop: ReachLoop, fleet: Fleet, random: Random) {
        val upstream = loop.usable.random(random)
        when (fleet.answerOf(upstream)) {
            null -> loop.happens(ReachEvent.Data(upstream))
            ReachFailureKind.PROBE_REFUSED -> loop.happens(
                ReachEvent.Failed(
                    upstream,
                    listOf(ReachFailureKind.NOT_CONNECTED, ReachFailureKind.RESET).random(random)
                )
            )
            else ->
                loop.happens(ReachEvent.Failed(upstream, ReachFailureKind.NOT_CONNECTED))
        }
    }

    private fun trouble(loop: ReachLoop, fleet: Fleet, random: Random) = repeat(60) {
        fleet.change()
        if (random.nextInt(4) == 0) loop.usable = fleet.usable()
        if (random.nextInt(3) > 0) request(loop, fleet, random)
        assertNull(loop.until(random.nextLong(1, 400)) { loop.isCut }, "cut, ${loop.state}")
    }

    @Test
    fun `a service is cut off if and only if none of its upstreams is reached`() =
        Seeds.each { random ->
            val fleet = Fleet(random)
            val loop = ReachLoop(fleet.all, { upstream, _ -> fleet.answerOf(upstream) })
            repeat(3) {
                trouble(loop, fleet, random)
                fleet.cutKind = PROBE_FAILURES.random(random)
                if (loop.usable.size == 1) loop.usable = fleet.all
                request(loop, fleet, random)
                val found = loop.until(1_600) { loop.isCut }
                assertNotNull(found, "no cut, ${loop.state}")
                loop.pass(random.nextLong(0, 10_000))
                fleet.cutKind = null
                val limitMillis = 600 + 300L * loop.usable.size
                assertNotNull(loop.until(limitMillis) { !loop.isCut }, "cut, ${loop.state}")
            }
        }

    private companion object {
        val PROBE_FAILURES = listOf(ReachFailureKind.PROBE_REFUSED, ReachFailureKind.PROBE_SILENT)
    }
}
