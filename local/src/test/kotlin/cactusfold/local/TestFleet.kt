package cactusfold.local

import cactusfold.decisions.config.ConfigDocument
import cactusfold.node.config.Proposal
import cactusfold.node.config.SubmitResult
import cactusfold.router.Router
import cactusfold.router.callers.RequestReader
import cactusfold.settings.fleet.FleetConfigResult
import cactusfold.settings.fleet.FleetConfigValidator
import cactusfold.standins.StandinOptions
import cactusfold.standins.runner.RunnerOptions
import cactusfold.standins.runner.RunnerStandin
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration
import java.util.concurrent.CompletableFuture
import kotlin.test.assertIs
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout

/** A [LocalFleet] with a small configuration and short leases, and an HTTP client for it. */
class TestFleet(
    routers: Int = 1,
    controllers: Int = 1,
    val runnerOptions: List<RunnerOptions> = listOf(runner("runner-1"), runner("runner-2"))
) {
    private val client: HttpClient = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(5))
        .build()

    val localFleet = LocalFleet(
        FleetOptions(
            routers,
            controllers,
            StandinOptions(
                runners = runnerOptions,
                servicePorts = listOf(0),
                vmLagMillis = 300,
                loadsPerSecond = 20.0
            ),
            leaseSection = LEASE_SECTION
        )
    )
    val routers: List<Router> get() = localFleet.routers
    val standins get() = localFleet.standins
    val runners: List<RunnerStandin> get() = standins.runners.values.toList()
    val service get() = standins.services.single()

    fun start(extraSections: String = "") = runBlocking {
        localFleet.start()
        val result = apply(document(extraSections))
        assertIs<SubmitResult.Accepted>(result)
        awaitCellLeaseHolder()
    }

    fun stop() = runBlocking { localFleet.stop() }

    fun document(extraSections: String = ""): String =
        DOCUMENT + workspaces + upstreams() + extraSections

    suspend fun apply(text: String, controller: Int = 0): SubmitResult {
        val document = assertIs<FleetConfigResult.Valid>(FleetConfigValidator.check(text)).document
        val config = localFleet.controllers[controller].core.config
        config.poll()
        val patch = config.document.patchTo(document)
        return config.submit(Proposal(config.current.version, patch, "test", "", 0))
    }

    suspend fun removeSection(section: String): SubmitResult {
        val config = localFleet.controllers.first().core.config
        val next = ConfigDocument(config.document.sections.remove(section))
        return config.submit(
            Proposal(config.current.version, config.document.patchTo(next), "test", "", 0)
        )
    }

    suspend fun awaitCellLeaseHolder() = eventually("no known cell lease holder") {
        localFleet.controllers.any { it.heldCells["default"]?.current?.recovered == true } &&
            routers.all {
                it.core.sessions.holderOf("cell/default") != null &&
                    it.core.config.current.version > 0
            }
    }

    fun request(path: String, body: String?, key: String? = KEY, router: Int = 0): HttpRequest {
        val builder = HttpRequest.newBuilder(
            URI("http://127.0.0.1:${routers[router].callerPort}$path")
        )
            .timeout(Duration.ofSeconds(30))
        key?.let { builder.header("Authorization", "Bearer $it") }
        if (body != null) builder.POST(HttpRequest.BodyPublishers.ofString(body))
        return builder.build()
    }

    fun send(
        path: String,
        body: String?,
        key: String? = KEY,
        router: Int = 0
    ): HttpResponse<String> = client.send(request(path, body, key, router), BodyHandlers.ofString())

    fun sendAsync(
        path: String,
        body: String?,
        router: Int = 0,
        key: String = KEY
    ): CompletableFuture<HttpResponse<String>> =
        client.sendAsync(request(path, body, key, router), BodyHandlers.ofString())

    fun chat(
        model: String,
        router: Int = 0,
        key: String = KEY,
        prompt: String = "hello"
    ): HttpResponse<String> = send(CHAT, chatBody(model, prompt = prompt), key, router)

    fun chatAsync(model: String, router: Int = 0, prompt: String = "hello", tokens: Int = 4) =
        sendAsync(CHAT, chatBody(model, tokens, prompt = prompt), router)

    fun stream(model: String, tokens: Int, router: Int = 0): HttpResponse<java.io.InputStream> =
        client.send(
            request(CHAT, chatBody(model, tokens, true), router = router),
            BodyHandlers.ofInputStream()
        )

    private fun upstreams(): String {
        val runners = standins.runners.entries.joinToString("") { (name, standin) ->
            val options = runnerOptions.first { it.name == name }
            """
            |[upstream $name]
            |kind = runner
            |host = 127.0.0.1
            |port = ${standin.port}
            |zone = zone-0
            |memory_bytes = ${options.memoryBytes}
            |checks_fence = ${options.checksFence}
            |slots = ${options.slots}
            |
            """.trimMargin()
        }
        return runners + """
            |[upstream desk]
            |kind = service
            |host = 127.0.0.1
            |port = ${service.port}
            |zone = zone-0
            |
        """.trimMargin()
    }

    companion object {
        const val KEY = "test-key"
        const val SMALL_KEY = "small-key"
        const val CHAT = "/v1/chat/completions"
        const val RUN_HEADER = "x-cactusfold-run"

        fun runner(name: String, checksFence: Boolean = true, memoryBytes: Long = 10_000) =
            RunnerOptions(
                name,
                0,
                memoryBytes,
                checksFence = checksFence,
                tokenMillis = 3,
                reportLagMillis = 50,
                restartMillis = 300
            )

        private val LEASE_SECTION = """
            |[lease]
            |ttl_millis = 1500
            |skew_millis = 300
            |renew_every_millis = 400
            |read_every_millis = 200
            |config_poll_millis = 300
            |
        """.trimMargin()

        private val DOCUMENT = """
            |[class fast]
            |target_millis = 10000
            |[class brief]
            |target_millis = 1500
            |[route chat]
            |path_prefix = /v1/chat/completions
            |class = fast
            |upstreams = runners
            |[route desk]
            |path_prefix = /lanes
            |class = brief
            |upstreams = desk
            |[route open]
            |path_prefix = /open
            |class = brief
            |upstreams = desk
            |open = true
            |[route bookings]
            |path_prefix = /bookings
            |class = brief
            |upstreams = desk
            |repeatable = false
            |[model big]
            |memory_bytes = 4000
            |[model other]
            |memory_bytes = 4000
            |[model third]
            |memory_bytes = 4000
            |[model huge]
            |memory_bytes = 50000
            |[model slow]
            |memory_bytes = 10
            |class = brief
            |[model tuned]
            |memory_bytes = 100
            |base = big
            |
        """.trimMargin()

        private val workspaces = """
            |[workspace large]
            |rate_tokens_per_second = 100000
            |burst_tokens = 100000
            |[workspace small]
            |rate_tokens_per_second = 100
            |burst_tokens = 100
            |models = big, slow
            |[key k]
            |workspace = large
            |sha256 = ${RequestReader.digestOf(KEY)}
            |[key s]
            |workspace = small
            |sha256 = ${RequestReader.digestOf(SMALL_KEY)}
            |
        """.trimMargin()

        fun chatBody(
            model: String,
            tokens: Int = 4,
            isStream: Boolean = false,
            prompt: String = "hello"
        ): String = """{"model":"$model","max_tokens":$tokens,"stream":$isStream,""" +
            """"messages":[{"role":"user","content":"$prompt"}]}"""

        /** Waits until [condition] is true. The timeout is far above what the system needs. */
        suspend fun eventually(message: String, condition: () -> Boolean) {
            try {
                withTimeout(30_000) { while (!condition()) delay(20) }
            } catch (e: kotlinx.coroutines.TimeoutCancellationException) {
                throw AssertionError(message, e)
            }
        }
    }
}

/** Starts [fleet], runs [block] and stops the fleet even if the block fails. */
fun withFleet(
    fleet: TestFleet = TestFleet(),
    extraSections: String = "",
    block: suspend TestFleet.() -> Unit
) {
    try {
        fleet.start(extraSections)
        runBlocking { fleet.block() }
    } finally {
        fleet.stop()
    }
}
