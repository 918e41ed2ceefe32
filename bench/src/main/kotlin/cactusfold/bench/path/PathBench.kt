package cactusfold.bench.path

import java.util.Locale
import org.HdrHistogram.ConcurrentHistogram

/** Measures the latency that the router adds, in alternating rounds of direct and routed calls. */
public object PathBench {
    private const val SECONDS = 6
    private const val ROUNDS = 3
    private const val TOKENS = 8
    private const val TOKEN_MILLIS = 2L
    private const val MICROS_PER_MILLI = 1_000.0
    private const val MEDIAN = 50.0
    private const val TAIL = 99.0

    /** Runs all cases and prints a Markdown table. */
    public suspend fun run() {
        val fleet = BenchFleet(TOKEN_MILLIS)
        fleet.start()
        println(
            "| case | requests/s | direct p50, p99 ms | router p50, p99 ms | added p50 ms (rounds) | added p99 ms (rounds) | failures |"
        )
        println("|---|---|---|---|---|---|---|")
        for (isStream in listOf(false, true)) {
            for (rate in listOf(100, 1_000)) measure(fleet, isStream, rate)
        }
        fleet.stop()
    }

    private suspend fun measure(fleet: BenchFleet, isStream: Boolean, rate: Int) {
        val direct = fleet.client(true, TOKENS, isStream)
        val routed = fleet.client(false, TOKENS, isStream)
        direct.run(rate, SECONDS / 2)
        routed.run(rate, SECONDS / 2)
        val pairs = (1..ROUNDS).map { direct.run(rate, SECONDS) to routed.run(rate, SECONDS) }
        val failures = pairs.sumOf { it.first.failures + it.second.failures }
        val last = pairs.last()
        val cells = listOf(
            if (isStream) "streamed" else "whole",
            rate.toString(),
            medianAndTail(last.first.micros),
            medianAndTail(last.second.micros),
            added(pairs, MEDIAN),
            added(pairs, TAIL),
            failures.toString()
        )
        println(cells.joinToString(" | ", "| ", " |"))
        direct.close()
        routed.close()
    }

    private fun medianAndTail(micros: ConcurrentHistogram): String =
        "${millis(micros, MEDIAN)}, ${millis(micros, TAIL)}"

    private fun added(pairs: List<Pair<LoadResult, LoadResult>>, percentile: Double): String =
        pairs.joinToString(", ") { (direct, routed) ->
            val difference = routed.micros.getValueAtPercentile(percentile) -
                direct.micros.getValueAtPercentile(percentile)
            "%.2f".format(Locale.ROOT, difference / MICROS_PER_MILLI)
        }

    private fun millis(micros: ConcurrentHistogram, percentile: Double): String =
        "%.2f".format(Locale.ROOT, micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI)
}
