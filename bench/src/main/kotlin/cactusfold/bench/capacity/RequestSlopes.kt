package cactusfold.bench.capacity

import cactusfold.bench.Meter
import cactusfold.bench.Point
import cactusfold.bench.path.BenchFleet
import cactusfold.bench.path.LoadClient

/**
 * Processor time of requests and tokens at a router: the same load through the router and directly,
 * the difference being the router's, as client and runner stand-in cost the same in both.
 */
public object RequestSlopes {
    private val RATES = listOf(200, 400, 600, 800)
    private val TOKENS = listOf(8, 32, 64, 128)
    private const val TOKEN_RATE = 100
    private const val SECONDS = 5
    private const val REQUESTS_PER_NODE = 11_000 / 430.0
    private const val TOKENS_PER_REQUEST = 4_100_000 / 11_000.0
    private const val PERCENT = 100.0

    /** Measures both slopes. */
    public suspend fun all(): List<Slope> {
        val fleet = BenchFleet(tokenMillis = 1)
        fleet.start()
        warmUp(fleet)
        val byRate = RATES.map { rate ->
            val direct = percent(fleet.client(true, 1, false), rate)
            val routed = percent(fleet.client(false, 1, false), rate)
            Point(rate.toDouble(), routed - direct)
        }
        val byTokens = TOKENS.map { tokens ->
            val direct = percent(fleet.client(true, tokens, true), TOKEN_RATE)
            val routed = percent(fleet.client(false, tokens, true), TOKEN_RATE)
            Point(tokens.toDouble(), routed - direct)
        }
        fleet.stop()
        return listOf(
            Slope(
                "router: whole requests",
                "% of a core",
                "requests/s a node",
                REQUESTS_PER_NODE,
                byRate
            ),
            Slope(
                "router: streams at $TOKEN_RATE requests/s",
                "% of a core",
                "tokens a request",
                TOKENS_PER_REQUEST,
                byTokens
            )
        )
    }

    private suspend fun warmUp(fleet: BenchFleet) {
        for (isStream in listOf(false, true)) {
            for (isDirect in listOf(false, true)) {
                fleet.client(isDirect, 16, isStream).run(RATES.last(), SECONDS)
            }
        }
    }

    private suspend fun percent(client: LoadClient, rate: Int): Double {
        val cpu = Meter.processCpuNanos()
        val began = System.nanoTime()
        val result = client.run(rate, SECONDS)
        check(result.failures == 0) { "${result.failures} requests failed" }
        val used = Meter.processCpuNanos() - cpu
        client.close()
        return used * PERCENT / (System.nanoTime() - began)
    }
}
