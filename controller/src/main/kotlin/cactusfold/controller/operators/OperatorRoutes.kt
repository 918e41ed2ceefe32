package cactusfold.controller.operators

import cactusfold.controller.Controller
import cactusfold.decisions.config.ConfigDocument
import cactusfold.decisions.config.ConfigEntry
import cactusfold.decisions.config.ConfigPatch
import cactusfold.node.config.Proposal
import cactusfold.node.config.SubmitResult
import cactusfold.node.launch.NodeCore
import cactusfold.node.peer.PeerResult
import cactusfold.protocol.EventQuery
import cactusfold.protocol.EventRecord
import cactusfold.settings.fleet.FleetConfigResult
import cactusfold.settings.fleet.FleetConfigValidator
import cactusfold.settings.fleet.renderIni
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

/** The HTTP API for operators, on the admin port. */
public class OperatorRoutes(private val core: NodeCore, private val controller: Controller) {

    /** Adds the routes to the admin server. Must be called before that server starts. */
    public fun install() {
        val router = core.admin.router
        router.route("/v1/*").handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES))
        router.get("/v1/config").handler { showConfig(it) }
        router.get("/v1/config/history").handler { history(it) }
        router.post("/v1/config/apply").handler { context -> handleAsync(context) { apply(it) } }
        router.post("/v1/config/patch").handler { context -> handleAsync(context) { patch(it) } }
        router.get("/v1/status").handler { status(it) }
        router.get("/v1/timeline").handler { context -> handleAsync(context) { timeline(it) } }
    }

    private fun handleAsync(context: RoutingContext, handle: suspend (RoutingContext) -> Unit) {
        core.scope.launch {
            try {
                handle(context)
            } catch (e: Exception) {
                context.fail(e)
            }
        }
    }

    private fun showConfig(context: RoutingContext) {
        val version = core.config.current.version
        context.response()
            .putHeader("content-type", "text/plain; charset=utf-8")
            .putHeader(VERSION_HEADER, version.toString())
        context.end(renderIni(core.config.document))
    }

    private fun history(context: RoutingContext) {
        context.json(JsonArray(core.config.entries.map(::entryJson)))
    }

    /**
     * Replaces the configuration with the document in the body. API keys that the body does not
     * mention are kept.
     */
    private suspend fun apply(context: RoutingContext) {
        when (val result = FleetConfigValidator.check(context.body().asString().orEmpty())) {
            is FleetConfigResult.Invalid -> rejectDocument(context, result)
            is FleetConfigResult.Valid -> {
                core.config.poll()
                val current = core.config.document
                val keys = current.sections.filterKeys { it.startsWith(KEY_PREFIX) }
                val kept = ConfigDocument(
                    result.document.sections.putAll(
                        keys - result.document.sections.keys
                    )
                )
                submit(context, current.patchTo(kept))
            }
        }
    }

    /** Adds, replaces and removes individual sections of the configuration. */
    private suspend fun patch(context: RoutingContext) {
        val body = context.body().asJsonObject() ?: JsonObject()
        val upserts = body.getString("upserts").orEmpty()
        val removals = body.getJsonArray("removals")?.map { it as String }?.toSet().orEmpty()
        core.config.poll()
        val current = core.config.document
        val unknown = removals.filter { it !in current.sections }
        if (unknown.isNotEmpty()) {
            respond(context, UNPROCESSABLE, error("no section " + unknown.joinToString()))
            return
        }
        val text = renderIni(current.apply(ConfigPatch(removals = removals))) + "\n" + upserts
        when (val result = FleetConfigValidator.check(text)) {
            is FleetConfigResult.Invalid -> rejectDocument(context, result)
            is FleetConfigResult.Valid -> submit(context, current.patchTo(result.document))
        }
    }

    private suspend fun submit(context: RoutingContext, patch: ConfigPatch) {
        val base = context.request().getHeader(VERSION_HEADER)?.toLongOrNull()
            ?: core.config.current.version
        if (patch.isEmpty) {
            respond(context, OK, JsonObject().put("version", base).put("changed", false))
            return
        }
        val proposal = Proposal(
            base,
            patch,
            context.request().getHeader(AUTHOR_HEADER) ?: "unknown",
            context.request().getHeader(COMMENT_HEADER).orEmpty(),
            System.currentTimeMillis()
        )
        when (val result = core.config.submit(proposal)) {
            is SubmitResult.Accepted ->
                respond(
                    context,
                    OK,
                    JsonObject().put("version", result.version).put("changed", true)
                )
            is SubmitResult.Contention ->
                respond(context, CONFLICT, error("version ${result.version} came first"))
            is SubmitResult.Unavailable -> {
                val suffix = if (result.mayBeAccepted) "; it may have been accepted" else ""
                respond(context, UNAVAILABLE, error(result.reason + suffix))
            }
        }
    }

    private fun status(context: RoutingContext) {
        val members = core.sessions.members.map {
            JsonObject()
                .put("session", it.session)
                .put("role", it.role.name.lowercase())
                .put("vm", it.vm)
                .put("admin_address", it.adminAddress.toString())
                .put("zone", it.zone)
                .put("leaving", it.isLeaving)
        }
        val cells = controller.heldCells.map { (name, manager) ->
            CellReport.of(name, manager.current)
        }
        val body = JsonObject()
            .put("process", core.settings.name)
            .put("session", core.sessions.session)
            .put("config_version", core.config.current.version)
            .put("store_up", core.guardedTable.isUp)
            .put("store_latency_millis", core.guardedTable.latencyMillis)
            .put("lease_live", core.sessions.isLive)
            .put("shards", JsonArray(core.sessions.heldShards.keys.sorted()))
            .put("members", JsonArray(members))
            .put("cells", JsonArray(cells))
        context.json(body)
    }

    private suspend fun timeline(context: RoutingContext) {
        val query = EventQuery.newBuilder()
            .setRequestId(context.request().getParam("request").orEmpty())
            .setModel(context.request().getParam("model").orEmpty())
            .setWorkspace(context.request().getParam("workspace").orEmpty())
            .setSinceEpochMillis(context.request().getParam("since")?.toLongOrNull() ?: 0)
            .setLimit(context.request().getParam("limit")?.toIntOrNull() ?: DEFAULT_EVENTS)
            .build()
        val answers = coroutineScope {
            core.sessions.members.map { member ->
                async { core.peers.peer(member.address, EVENTS_TIMEOUT_MILLIS) { events(query) } }
            }.awaitAll()
        }
        val found = answers.filterIsInstance<PeerResult.Answer<*>>().flatMap { answer ->
            (answer.value as cactusfold.protocol.EventList).eventsList
        }.distinct().sortedBy { it.hlc }
        val body = JsonObject()
            .put("events", JsonArray(found.map(::eventJson)))
            .put("silent_processes", answers.count { it is PeerResult.Failed })
        context.json(body)
    }

    private fun eventJson(event: EventRecord): JsonObject = JsonObject()
        .put("hlc", event.hlc)
        .put("process", event.process)
        .put("vm", event.vm)
        .put("kind", event.kind)
        .put("request", event.requestId)
        .put("model", event.model)
        .put("workspace", event.workspace)
        .put("detail", event.detail)

    private fun entryJson(entry: ConfigEntry): JsonObject = JsonObject()
        .put("version", entry.version)
        .put("author", entry.author)
        .put("accepted_at_epoch_millis", entry.acceptedAtEpochMillis)
        .put("comment", entry.comment)
        .put("upserts", renderIni(ConfigDocument(entry.patch.upserts)))
        .put("removals", JsonArray(entry.patch.removals.sorted()))

    private fun rejectDocument(context: RoutingContext, result: FleetConfigResult.Invalid) {
        val problems = result.problems.map {
            JsonObject().put("line", it.line).put("message", it.message)
        }
        respond(context, UNPROCESSABLE, JsonObject().put("problems", JsonArray(problems)))
    }

    private fun error(message: String): JsonObject = JsonObject().put("error", message)

    private fun respond(context: RoutingContext, status: Int, body: JsonObject) {
        context.response().setStatusCode(status)
        context.json(body)
    }

    private companion object {
        const val OK = 200
        const val CONFLICT = 409
        const val UNPROCESSABLE = 422
        const val UNAVAILABLE = 503
        const val MAX_BODY_BYTES = 16L * 1024 * 1024
        const val DEFAULT_EVENTS = 200
        const val EVENTS_TIMEOUT_MILLIS = 1_000L
        const val KEY_PREFIX = "key "
        const val VERSION_HEADER = "X-Config-Version"
        const val AUTHOR_HEADER = "X-Author"
        const val COMMENT_HEADER = "X-Comment"
    }
}
