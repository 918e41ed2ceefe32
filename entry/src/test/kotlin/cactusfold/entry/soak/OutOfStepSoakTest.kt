package cactusfold.entry.soak

import cactusfold.entry.path.PlatformFixture
import cactusfold.platform.standin.AnswerShape
import cactusfold.platform.standin.RunnerStandin
import cactusfold.seeds.Seeds
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

/**
 * Three entry processes of which one at a time stands still, the coordinator among them, while
 * runners come back with another software version. Callers take up the streams that break off,
 * also at a process that has just woken up. One run for each seed.
 */
class OutOfStepSoakTest {
    // Guards against streams that go on at another version, by what a process knew before a pause.
    @Test
    fun `no stream holds events of two versions`() {
        val mixed = runs.mapValues { run -> run.value.filter { it.versions.size > 1 } }
        assertEquals(emptyMap(), mixed.filterValues { it.isNotEmpty() })
    }

    @Test
    fun `the events of each stream follow one another`() {
        val wrong = runs.mapValues { run -> run.value.filterNot { it.isConsecutive } }
        assertEquals(emptyMap(), wrong.filterValues { it.isNotEmpty() })
    }

    // Guards against keeping the rules by refusing all streams.
    @Test
    fun `streams are taken up`() {
        val takenUp = runs.values.flatten().filter { it.takenUpIn != null }
        val wentOn = takenUp.count { it.hasGoneOn }
        println("$wentOn of ${takenUp.size} streams went on")
        assertTrue(wentOn > 0, "$takenUp")
    }

    private companion object {
        const val DEFAULT_SEEDS = 2
        const val VMS = 3
        const val STOP_MILLIS = 4_000L
        const val CALLERS = 12
        const val EVENTS = 30
        const val EVENT_MILLIS = 50L
        const val RETURN_MILLIS = 200L
        const val ROUNDS = 5

        val runs: Map<Int, Collection<CalledStream<Int>>> by lazy {
            Seeds.range(DEFAULT_SEEDS).associateWith {
                PlatformFixture().use { on -> play(on, it) }
            }
        }

        fun play(platform: PlatformFixture, seed: Int): Collection<CalledStream<Int>> {
            val random = Random(seed)
            repeat(4) { i ->
                platform.runner("e-$i", "engine", setOf("warm"), "v1").apply {
                    eventText = "v1"
                    returnMillis = RETURN_MILLIS
                    shapeOf = { AnswerShape(events = EVENTS, eventDelayMillis = EVENT_MILLIS) }
                }
            }
            val runners = platform.runners.toList()
            platform.runner("d-1", "desk")
            platform.operator.timeoutMillis = StreamCallers.TIMEOUT_MILLIS
            platform.operator.configure(1, listOf("key-1"))
            val fleet = (1..VMS).map {
                EntryJvm("out-of-step-$seed", "vm$it", platform.store.port, STOP_MILLIS)
            }
            var round = 0
            val callers = StreamCallers(EVENTS, { fleet }) { round }
            try {
                fleet.forEach(EntryJvm::awaitServing)
                callers.start(CALLERS)
                repeat(ROUNDS) {
                    round = it
                    Thread.sleep(random.nextLong(500, 1_500))
                    val paused = fleet.random(random).apply { pause() }
                    repeat(random.nextInt(1, 4)) {
                        runners.random(random).restart(listOf("v1", "v2").random(random))
                        Thread.sleep(random.nextLong(200, 1_200))
                    }
                    paused.resume()
                    // Streams break off again at the first steps after the pause.
                    runners.random(random).restart(listOf("v1", "v2").random(random))
                }
                Thread.sleep(2 * RETURN_MILLIS)
                callers.end()
            } finally {
                fleet.forEach(EntryJvm::close)
                callers.end()
            }
            return callers.streams
        }

        fun RunnerStandin.restart(version: String) {
            softwareVersion = version
            crash()
            Thread.sleep(returnMillis / 2)
            eventText = version
        }
    }
}
