package cactusfold.cli

import cactusfold.settings.schema.HostPort
import io.vertx.core.json.JsonObject
import java.util.concurrent.Callable
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.ParentCommand

/** Shows processes, store, cells and models. */
@Command(name = "status", description = ["Shows processes, store, cells and models."])
internal class StatusCommand : Callable<Int> {
    @ParentCommand
    lateinit var parent: CactusfoldCommand

    @Option(names = ["--json"], description = ["Print JSON."])
    var isJson: Boolean = false

    override fun call(): Int = parent.client().get("/v1/status").exitCode("") { body ->
        val status = body.toJsonObject()
        addOtherCells(status)
        if (isJson) println(status.encodePrettily()) else print(status)
    }

    /** Adds the cells of other controllers; each one reports only cells whose lease it holds. */
    private fun addOtherCells(status: JsonObject) {
        val others = status.getJsonArray("members").map { it as JsonObject }.filter {
            it.getString("role") == "controller" &&
                it.getString("session") != status.getString("session")
        }
        for (member in others) {
            val address = HostPort.parse(member.getString("admin_address"))
            when (val answer = ControllerClient(address).get("/v1/status")) {
                is ControllerResponse.Ok ->
                    status.getJsonArray(
                        "cells"
                    ).addAll(answer.body.toJsonObject().getJsonArray("cells"))
                else -> System.err.println("$address did not answer; its cells are missing")
            }
        }
    }

    private fun print(status: JsonObject) {
        val store = if (status.getBoolean("store_up")) "up" else "down"
        println("configuration  version ${status.getLong("config_version")}")
        println("store          $store, ${status.getDouble("store_latency_millis").toLong()} ms")
        println("holds          ${status.getJsonArray("shards").size()} shards")
        for (item in status.getJsonArray("members")) {
            val member = item as JsonObject
            val leaving = if (member.getBoolean("leaving")) "  leaving" else ""
            val role = member.getString("role").padEnd(ROLE_WIDTH)
            println("  $role ${member.getString("session")}  ${member.getString("zone")}$leaving")
        }
        for (item in status.getJsonArray("cells")) printCell(item as JsonObject)
    }

    private fun printCell(cell: JsonObject) {
        println("cell ${cell.getString("cell")}  fence ${cell.getLong("fence")}")
        for (item in cell.getJsonArray("runners")) {
            val runner = item as JsonObject
            val used = runner.getLong("used_bytes") * PERCENT / runner.getLong("memory_bytes")
            val state = if (runner.getBoolean("usable")) "" else "  not usable"
            println("  ${runner.getString("runner")}  memory $used %$state")
            for (model in runner.getJsonArray("models")) {
                val loaded = model as JsonObject
                println("    ${loaded.getString("model")}  ${loaded.getString("phase")}")
            }
        }
    }

    private companion object {
        const val ROLE_WIDTH = 10
        const val PERCENT = 100
    }
}
