package cactusfold.local

import cactusfold.node.launch.ExitCode
import cactusfold.node.launch.VersionProvider
import cactusfold.node.launch.runCommand
import cactusfold.node.process.LogFormat
import cactusfold.node.process.Logging
import cactusfold.router.callers.RequestReader
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import picocli.CommandLine.Command
import picocli.CommandLine.Option

/** Command that runs the whole system in one JVM. */
@Command(
    name = "cactusfold-local",
    mixinStandardHelpOptions = true,
    versionProvider = VersionProvider::class,
    description = ["Runs stand-ins, a router and a controller in one JVM on loopback."]
)
public class LocalCommand : Callable<Int> {
    @Option(names = ["--port"], description = ["Callers' port (\${DEFAULT-VALUE})."])
    private var port: Int = DEFAULT_PORT

    @Option(names = ["--routers"], description = ["Routers (\${DEFAULT-VALUE})."])
    private var routers: Int = 1

    @Option(names = ["--controllers"], description = ["Controllers (\${DEFAULT-VALUE})."])
    private var controllers: Int = 1

    override fun call(): Int {
        Logging.start(LogFormat.PLAIN, "warn")
        val fleet = LocalFleet(
            FleetOptions(
                routers,
                controllers,
                DemoConfig.standins(
                    port + 1,
                    port + 2,
                    port + 3,
                    listOf(port + 4, port + 5),
                    port + 6
                ),
                callerPort = port
            )
        )
        val stopped = CountDownLatch(1)
        runBlocking {
            fleet.start()
            applyDemoConfig(fleet)
            awaitReady(fleet)
        }
        printUsage(fleet)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                println("Stopping: waiting for running requests to complete")
                runBlocking { fleet.stop() }
                stopped.countDown()
            }
        )
        stopped.await()
        return ExitCode.OK
    }

    private suspend fun applyDemoConfig(fleet: LocalFleet) {
        val digest = RequestReader.digestOf(DemoConfig.KEY)
        fleet.applyDocument(DemoConfig.document(listOf(port + 4, port + 5), port + 6, digest))
    }

    private suspend fun awaitReady(fleet: LocalFleet) = withTimeout(READY_TIMEOUT_MILLIS) {
        while (!isReady(fleet)) delay(READY_POLL_MILLIS)
    }

    private fun isReady(fleet: LocalFleet): Boolean {
        val cells = fleet.controllers.flatMap { it.heldCells.values }
        val areCellsRecovered = cells.isNotEmpty() && cells.all { it.current.recovered }
        return areCellsRecovered &&
            fleet.routers.all {
                it.core.config.current.version > 0 &&
                    it.core.sessions.holderOf("cell/default") != null
            }
    }

    private fun printUsage(fleet: LocalFleet) {
        val admin = fleet.controllers.first().core.settings.adminAddress
        println("URL:    http://127.0.0.1:$port")
        println("Key:    ${DemoConfig.KEY}")
        println("Admin:  http://$admin   (bin/cactusfold --controller $admin status)")
        println("Try:    curl -s http://127.0.0.1:$port/v1/chat/completions \\")
        println("          -H 'Authorization: Bearer ${DemoConfig.KEY}' \\")
        println(
            "          -d '{\"model\":\"drills-8b\",\"messages\":[{\"role\":\"user\",\"content\":\"A drill for juniors\"}]}'"
        )
        println("Press Ctrl-C to stop.")
    }

    private companion object {
        const val DEFAULT_PORT = 8080
        const val READY_TIMEOUT_MILLIS = 20_000L
        const val READY_POLL_MILLIS = 20L
    }
}

/** Entry point of `bin/local`. */
public fun main(args: Array<String>): Unit = runCommand(LocalCommand(), args)
