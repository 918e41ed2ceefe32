package cactusfold.decisions.suspect

import cactusfold.seeds.Seeds
import kotlin.test.Test
import kotlin.test.assertTrue

class PromptBlockRandomisedTest {
    @Test
    fun `after the fifth crash few poison requests reach runners and others are served`() {
        Seeds.each { random ->
            val outages = List(random.nextInt(3)) { random.nextLong(4_000, 15_000) }
            val run = PromptBlockModel(random, random.nextDouble(0.01, 0.2), outages).run()
            val crashes = run.crashesAtMillis
            val fifthAtMillis = crashes.getOrNull(4) ?: crashes.lastOrNull() ?: return@each
            val late = run.poisonStartsAtMillis.count { it > fifthAtMillis + CONTACT_MILLIS }
            assertTrue(late <= 3, "$late began later, ${crashes.size} crashes: $crashes")
            val (after, before) = run.sound.partition {
                it.first > fifthAtMillis + 2 * CONTACT_MILLIS
            }
            val usual = before.filter { it.first < PromptBlockModel.POISON_FROM_MILLIS }
            assertTrue(share(after) >= share(usual) / 2, "served after: ${share(after)}")
        }
    }

    @Test
    fun `crashes of many runners at once make no block refused`() {
        Seeds.each { random ->
            val outages = List(3) { 6_000L + it * random.nextLong(500, 9_000) }
            val run = PromptBlockModel(random, poisonShare = 0.0, outages).run()
            val refused = run.sound.filter { (atMillis, isSent) ->
                !isSent && outages.none { atMillis in it..it + SHARED_MILLIS + 1_000 }
            }
            assertTrue(refused.isEmpty(), "refused at ${refused.map { it.first }}, $outages")
        }
    }

    private fun share(requests: List<Pair<Long, Boolean>>): Double =
        if (requests.isEmpty()) 1.0 else requests.count { it.second }.toDouble() / requests.size

    private companion object {
        /** The users' `contact-ms`. */
        const val CONTACT_MILLIS = 3_000L

        /** Time until all processes of the model have heard of a crash or completion. */
        const val SHARED_MILLIS = 500L
    }
}
