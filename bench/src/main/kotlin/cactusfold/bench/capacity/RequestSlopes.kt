package cactusfold.bench.capacity

import cactusfold.bench.Meter
import cactusfold.bench.Point
import cactusfold.bench.path.BenchFleet
import cactusfold.bench.path.LoadClient
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

/**
 * CPU time of requests and tokens at a router.
 *
 * The same load is sent through the router and directly; the difference is the router's share,
 * because client and runner stand-in cost the same in both.
 */
public object RequestSlopes {
    private val RATES = listOf(200, 400, 600, 800)
    private val TOKENS = listOf(8, 32, 64, 128)
    private const val TOKEN_RATE = 100
    private const val SECONDS = 5
    private const val REQUESTS_PER_NODE = 11_000 / 430.0
    private const val TOKENS_PER_REQUEST = 4_100_000 / 11_000.0
    private const val PERCENT = 100.0
    private val ADAPTERS = listOf(4, 8, 16, 32)
    private const val IDLE_WATCH_SECONDS = 15
    private const val ADAPTERS_IN_USE = REQUESTS_PER_NODE * IDLE_WATCH_SECONDS
    private const val TRAFFIC_RATE = 26
    private const val TRAFFIC_SECONDS = 20
    private const val NANOS_PER_SECOND = 1e9

    /** Measures CPU time by request rate and by tokens, and the traffic between processes. */
    public suspend fun all(): List<Slope> {
        val fleet = BenchFleet(tokenMillis = 1)
        fleet.start()
        warmUp(fleet)
        val byRate = RATES.map { rate ->
            val direct = measureCpuPercent(fleet.client(true, 1, false), rate)
            val routed = measureCpuPercent(fleet.client(false, 1, false), rate)
            Point(rate.toDouble(), routed - direct)
        }
        val byTokens = TOKENS.map { tokens ->
            val direct = measureCpuPercent(fleet.client(true, tokens, true), TOKEN_RATE)
            val routed = measureCpuPercent(fleet.client(false, tokens, true), TOKEN_RATE)
            Point(tokens.toDouble(), routed - direct)
        }
        fleet.stop()
        return processTraffic() + listOf(
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

    /** Measures traffic between processes by number of adapters in use, at a fixed request rate. */
    private suspend fun processTraffic(): List<Slope> {
        val fleet = BenchFleet(tokenMillis = 1, adapters = ADAPTERS.last())
        fleet.start()
        val costs = ADAPTERS.map { count -> count to trafficCost(fleet, count) }
        fleet.stop()
        return listOf(
            Slope(
                "router: messages between processes at $TRAFFIC_RATE requests/s",
                "bytes/s",
                "adapters in use at a router",
                ADAPTERS_IN_USE,
                costs.map { (count, cost) -> Point(count.toDouble(), cost.bytesPerSecond) }
            ),
            Slope(
                "router: calls between processes at $TRAFFIC_RATE requests/s",
                "calls/s",
                "adapters in use at a router",
                ADAPTERS_IN_USE,
                costs.map { (count, cost) -> Point(count.toDouble(), cost.callsPerSecond) }
            )
        )
    }

    private class TrafficCost(val bytesPerSecond: Double, val callsPerSecond: Double)

    private suspend fun trafficCost(fleet: BenchFleet, adapters: Int): TrafficCost {
        val clients = (1..adapters).map { fleet.client(false, 4, false, "adapter-$it") }
        coroutineScope { clients.map { async { it.run(1, 1) } }.awaitAll() }
        val traffic = fleet.fleet.routers.first().core.peers.traffic
        val bytes = traffic.bytes
        val calls = traffic.calls
        val began = System.nanoTime()
        coroutineScope {
            clients.map {
                async { it.runAtRate(TRAFFIC_RATE / adapters.toDouble(), TRAFFIC_SECONDS) }
            }
                .awaitAll()
        }
        val seconds = (System.nanoTime() - began) / NANOS_PER_SECOND
        clients.forEach { it.close() }
        return TrafficCost((traffic.bytes - bytes) / seconds, (traffic.calls - calls) / seconds)
    }

    private suspend fun warmUp(fleet: BenchFleet) {
        for (isStream in listOf(false, true)) {
            for (isDirect in listOf(false, true)) {
                fleet.client(isDirect, 16, isStream).run(RATES.last(), SECONDS)
            }
        }
    }

    private suspend fun measureCpuPercent(client: LoadClient, rate: Int): Double {
        val cpu = Meter.processCpuNanos()
        val began = System.nanoTime()
        val result = client.run(rate, SECONDS)
        check(result.failures == 0) { "${result.failures} requests failed" }
        val used = Meter.processCpuNanos() - cpu
        client.close()
        return used * PERCENT / (System.nanoTime() - began)
    }
}
