package cactusfold.entry.soak

import cactusfold.platform.standin.LateCopies
import kotlin.random.Random

/** A row of another writer in the table of upstreams. */
class ForeignRow(val atMillis: Long, val key: String, val value: ByteArray)

/** A time in which a [runner] sends reports, or answers to requests, that have no end. */
data class EndlessAnswers(
    val fromMillis: Long,
    val untilMillis: Long,
    val runner: String,
    val inReports: Boolean
)

/** From [atMillis] on a [runner] says that it leaves; its row lapses at [lapsesAtMillis] and returns. */
data class Leaving(val atMillis: Long, val runner: String, val lapsesAtMillis: List<Long>)

/** Upstreams that fail now and then, and write some of their answers once more. */
class CopyPlan(private val random: Random) {
    private val oneIn = random.nextInt(1, 5)
    private val failsOneIn = random.nextInt(3, 20)

    /** Returns the copies of one upstream. */
    fun of(): LateCopies = LateCopies(Random(random.nextLong()), oneIn)

    /** Whether the next answer is a failure. */
    @Synchronized
    fun fails(): Boolean = random.nextInt(failsOneIn) == 0

    override fun toString(): String = "copies=1 in $oneIn failures=1 in $failsOneIn"
}

/**
 * Faults of others during a run, with times as in [SoakPlan.work] and draws of their own: what a
 * process reads must neither end its tasks nor fill its memory, nor be forgotten too soon.
 */
class ForeignFaults(random: Random, fromMillis: Long, untilMillis: Long) {
    val rows: List<ForeignRow> = List(random.nextInt(4)) { i ->
        ForeignRow(random.nextLong(fromMillis, untilMillis), "a-foreign-$i", document(random))
    }

    val endless: List<EndlessAnswers> = List(random.nextInt(3)) {
        val beginsMillis = random.nextLong(fromMillis, untilMillis)
        EndlessAnswers(
            beginsMillis,
            beginsMillis + random.nextLong(50, 500),
            "i-${random.nextInt(1, 4)}",
            random.nextBoolean()
        )
    }

    val leaving: Leaving? = if (random.nextBoolean()) {
        val atMillis = random.nextLong(fromMillis, untilMillis)
        val lapses = List(random.nextInt(3)) { random.nextLong(100, 2_000) + atMillis }
        Leaving(atMillis, "d-1", lapses.sorted())
    } else {
        null
    }

    private fun document(random: Random): ByteArray = when (random.nextInt(4)) {
        0 -> "{\"a\":".repeat(random.nextInt(400, 8_000)).toByteArray()
        1 -> "[".repeat(random.nextInt(400, 8_000)).toByteArray()
        2 -> random.nextBytes(random.nextInt(1, 60_000))
        else -> "{\"slots\":${"9".repeat(random.nextInt(1, 5_000))}}".toByteArray()
    }

    override fun toString(): String =
        "rows=${rows.map { it.atMillis to it.value.size }} endless=$endless leaving=$leaving"
}
