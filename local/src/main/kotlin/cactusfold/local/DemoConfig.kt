package cactusfold.local

import cactusfold.standins.StandinOptions
import cactusfold.standins.runner.RunnerOptions

/** Fleet configuration that `bin/local` applies at startup. */
public object DemoConfig {
    /** The demo API key. It is public, so use it only with stand-ins on loopback. */
    public const val KEY: String = "demo-key-for-loopback-only"

    private const val GIB = 1L shl 30

    /** Returns stand-in options for a runner on each of [runnerPorts] and one plain service. */
    public fun standins(
        tablePort: Int,
        objectsPort: Int,
        vmsPort: Int,
        runnerPorts: List<Int>,
        servicePort: Int
    ): StandinOptions = StandinOptions(
        tablePort = tablePort,
        objectsPort = objectsPort,
        vmsPort = vmsPort,
        runners = runnerPorts.mapIndexed { i, port ->
            RunnerOptions("runner-${i + 1}", port, 40 * GIB, checksFence = i == 0)
        },
        servicePorts = listOf(servicePort)
    )

    /** Returns the configuration document for runners and a plain service on these ports. */
    public fun document(runnerPorts: List<Int>, servicePort: Int, keyDigest: String): String =
        classes + workspaces(keyDigest) + models + upstreams(runnerPorts, servicePort)

    private val classes = """
        |[class availability]
        |target_millis = 10000
        |[class drill-plans]
        |target_millis = 20000
        |[class bookings]
        |target_millis = 5000
        |[route chat]
        |path_prefix = /v1/chat/completions
        |class = drill-plans
        |upstreams = runners
        |[route completions]
        |path_prefix = /v1/completions
        |class = availability
        |upstreams = runners
        |[route lanes]
        |path_prefix = /lanes
        |class = availability
        |upstreams = desk
        |[route bookings]
        |path_prefix = /bookings
        |class = bookings
        |upstreams = desk
        |repeatable = false
        |
    """.trimMargin()

    private fun workspaces(keyDigest: String): String = """
        |[workspace cricket]
        |rate_tokens_per_second = 20000
        |burst_tokens = 100000
        |[key demo]
        |workspace = cricket
        |sha256 = $keyDigest
        |
    """.trimMargin()

    private val models = """
        |[model drills-8b]
        |memory_bytes = 2000000000
        |[model summaries-14b]
        |memory_bytes = 4000000000
        |[model drills-8b-juniors]
        |memory_bytes = 60000000
        |base = drills-8b
        |
    """.trimMargin()

    private fun upstreams(runnerPorts: List<Int>, servicePort: Int): String {
        val runners = runnerPorts.mapIndexed { i, port ->
            """
            |[upstream runner-${i + 1}]
            |kind = runner
            |host = 127.0.0.1
            |port = $port
            |zone = zone-$i
            |memory_bytes = ${40 * GIB}
            |kv_reserve_bytes = ${8 * GIB}
            |checks_fence = ${i == 0}
            |
            """.trimMargin()
        }
        val service = """
            |[upstream desk]
            |kind = service
            |host = 127.0.0.1
            |port = $servicePort
            |zone = zone-0
            |
        """.trimMargin()
        return runners.joinToString("") + service
    }
}
