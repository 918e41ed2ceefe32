package cactusfold.bench.path

import cactusfold.local.DemoConfig
import cactusfold.local.FleetOptions
import cactusfold.local.LocalFleet
import cactusfold.local.applyDocument
import cactusfold.router.callers.RequestReader
import cactusfold.standins.StandinOptions
import cactusfold.standins.runner.RunnerOptions
import io.vertx.core.Vertx
import kotlinx.coroutines.delay

/** Fleet with two runners of many slots, and clients that call a runner directly or routed. */
public class BenchFleet(tokenMillis: Long, private val adapters: Int = 0) {
    private val vertx = Vertx.vertx()
    private val runners = listOf("runner-1", "runner-2").map {
        RunnerOptions(it, 0, MEMORY_BYTES, slots = SLOTS, tokenMillis = tokenMillis)
    }

    public val fleet: LocalFleet =
        LocalFleet(
            FleetOptions(standins = StandinOptions(runners = runners, servicePorts = listOf(0)))
        )

    /** Starts the fleet and loads the model. */
    public suspend fun start() {
        fleet.start()
        val ports = fleet.standins.runners.values.map { it.port }
        val digest = RequestReader.digestOf(DemoConfig.KEY)
        val text = DemoConfig.document(ports, fleet.standins.services.first().port, digest)
        val unlimited = text
            .replace("kind = runner", "kind = runner\nslots = $SLOTS")
            .replace("rate_tokens_per_second = 20000", "rate_tokens_per_second = 1000000000")
            .replace("burst_tokens = 100000", "burst_tokens = 1000000000")
        fleet.applyDocument(unlimited + adapterSections())
        delay(SETTLE_MILLIS)
        client(isDirect = false, tokens = 1, isStream = false).run(10, 1)
    }

    /** Returns a client whose requests generate [tokens] tokens. */
    public fun client(
        isDirect: Boolean,
        tokens: Int,
        isStream: Boolean,
        model: String = "drills-8b"
    ): LoadClient {
        val body = """{"model":"$model","max_tokens":$tokens,"stream":$isStream,""" +
            """"messages":[{"role":"user","content":"A drill for juniors"}]}"""
        val port = if (isDirect) loadedRunnerPort() else fleet.routers.first().callerPort
        val headers = mapOf("Authorization" to "Bearer ${DemoConfig.KEY}")
        return LoadClient(vertx, port, "/v1/chat/completions", headers, body)
    }

    public suspend fun stop() {
        fleet.stop()
        vertx.close()
    }

    private fun adapterSections(): String = (1..adapters).joinToString("") {
        "[model adapter-$it]\nmemory_bytes = 1000000\nbase = drills-8b\n"
    }

    private fun loadedRunnerPort(): Int = fleet.standins.runners.values.first { it.loads > 0 }.port

    private companion object {
        const val MEMORY_BYTES = 40L shl 30
        const val SLOTS = 2_048
        const val SETTLE_MILLIS = 4_000L
    }
}
