package cactusfold.training

import cactusfold.platform.standin.CallerStandin
import cactusfold.platform.standin.OperatorStandin
import cactusfold.platform.standin.RunnerBehavior
import cactusfold.platform.standin.RunnerStandin
import cactusfold.platform.standin.StoreStandin
import io.vertx.core.Vertx
import java.io.IOException
import java.net.http.HttpResponse
import java.util.concurrent.Callable
import java.util.concurrent.TimeUnit
import kotlin.system.exitProcess
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option

/**
 * Platform of the training runs of `bin/build-entry`: a store, an operator, upstreams and callers
 * on loopback. The calls exercise the paths of an entry process whose classes are to be archived.
 */
@Command(
    name = "cactusfold-training",
    description = ["Serves and calls entry processes on loopback for a number of seconds."],
    mixinStandardHelpOptions = true
)
public class TrainingPlatform : Callable<Int> {
    @Option(names = ["--store-port"], required = true, description = ["Port of the store."])
    private var storePort: Int = 0

    @Option(
        names = ["--caller-ports"],
        split = ",",
        description = ["Ports of the entry processes for callers. Without any, none are called."]
    )
    private var callerPorts: List<Int> = emptyList()

    @Option(
        names = ["--seconds"],
        required = true,
        description = ["Duration of the calls at most."]
    )
    private var seconds: Long = 0

    override fun call(): Int {
        val vertx = Vertx.vertx()
        val store = StoreStandin(vertx).apply { start(storePort) }
        val operator = OperatorStandin(store)
        val runners = listOf("r1" to setOf("warm"), "r2" to emptySet()).map { (id, models) ->
            RunnerStandin(vertx, id, models).also {
                it.start()
                operator.register(id, it, "engine")
            }
        }
        val desk = RunnerStandin(vertx, "d1", emptySet()).also { it.start() }
        operator.register("d1", desk, "desk")
        operator.configure(version = 1, keys = listOf("key-1"))
        println("listening on $storePort")
        val callers = callerPorts.associateWith(::CallerStandin)
        val endsAtNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds)
        var round = 0
        while (System.nanoTime() < endsAtNanos) {
            val behavior = BEHAVIORS[round++ % BEHAVIORS.size]
            (runners + desk).forEach { it.behavior = behavior }
            if (callers.isEmpty()) Thread.sleep(PAUSE_MILLIS)
            if (callers.isEmpty()) continue
            callers.forEach { (port, caller) -> callRound(port, caller) }
            operator.configure(version = 1 + round, keys = listOf("key-1"), RATE_PER_SECOND)
        }
        vertx.close()
        return 0
    }

    /** Calls the process at [port] and prints how it answered; `bin/train-entry` waits for that. */
    private fun callRound(port: Int, caller: CallerStandin) {
        val statuses = listOf("warm", "cold", "other").map { model ->
            attempt {
                caller.call("/draft/a", "key-1", model)
            }
        } +
            listOf("/book/a", "/look/a", "/none/a").map { path -> attempt { caller.call(path) } } +
            attempt { caller.call("/look/a", key = "unknown") }
        val answered = statuses.filterNotNull()
        if (answered.isNotEmpty()) {
            println("answered $port: ${answered.count { it == OK }} of ${statuses.size} with $OK")
        }
        Thread.sleep(PAUSE_MILLIS)
    }

    /** Makes one call; processes that start or stop meanwhile refuse the connection. */
    private fun attempt(call: () -> HttpResponse<String>): Int? = try {
        call().statusCode()
    } catch (e: IOException) {
        System.err.println("not called: ${e.message}")
        null
    }

    private companion object {
        const val OK = 200
        const val PAUSE_MILLIS = 20L
        const val RATE_PER_SECOND = 100_000
        val BEHAVIORS = listOf(
            RunnerBehavior.NORMAL,
            RunnerBehavior.NORMAL,
            RunnerBehavior.FULL,
            RunnerBehavior.CLOSES_MID_STREAM,
            RunnerBehavior.CLOSES_BEFORE_RESPONSE
        )
    }
}

/** Entry point of the training platform. */
public fun main(args: Array<String>) {
    exitProcess(CommandLine(TrainingPlatform()).execute(*args))
}
