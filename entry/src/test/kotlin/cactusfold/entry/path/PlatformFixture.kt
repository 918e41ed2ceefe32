package cactusfold.entry.path

import cactusfold.platform.standin.OperatorStandin
import cactusfold.platform.standin.RunnerStandin
import cactusfold.platform.standin.StoreStandin
import io.vertx.core.Vertx
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/** The users' platform on the loopback interface: its store, its operator and its runners. */
class PlatformFixture : AutoCloseable {
    private val vertx = Vertx.vertx()
    val store = StoreStandin(vertx).apply { start() }
    val operator = OperatorStandin(store)

    /** The runners that were started, in that order. */
    val runners: MutableList<RunnerStandin> = CopyOnWriteArrayList()

    /** Starts a runner of [version] and registers it as an upstream of [service]. */
    fun runner(
        id: String,
        service: String,
        models: Set<String> = emptySet(),
        version: String = "v1"
    ): RunnerStandin {
        val runner = RunnerStandin(vertx, id, models).apply {
            softwareVersion = version
            start()
        }
        operator.register(id, runner, service)
        runner.onReturn = { operator.register(id, runner, service) }
        runners += runner
        return runner
    }

    override fun close() {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS)
    }
}
