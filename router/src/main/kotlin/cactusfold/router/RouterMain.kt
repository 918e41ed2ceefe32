package cactusfold.router

import cactusfold.node.launch.Daemon
import cactusfold.node.launch.DaemonCommand
import cactusfold.node.launch.runCommand
import cactusfold.settings.schema.Settings
import io.vertx.core.Vertx
import picocli.CommandLine.Command

/** Command line of the router process. */
@Command(
    name = "cactusfold-router",
    description = ["Takes callers' requests and routes them to upstreams."]
)
public class RouterCommand : DaemonCommand(routerSchema) {
    override suspend fun launch(settings: Settings): Daemon {
        val router = Router(routerSettings(settings), Vertx.vertx())
        router.start()
        return router
    }
}

/** Entry point of `bin/cactusfold-router`. */
public fun main(args: Array<String>): Unit = runCommand(RouterCommand(), args)
