package cactusfold.router.callers

import cactusfold.node.launch.NodeCore
import io.vertx.core.http.HttpMethod
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject

/** Answers `GET /v1/models` with the models that the key's workspace may use. */
internal class ModelList(private val core: NodeCore) {
    fun answers(raw: RawRequest): Boolean = raw.method == HttpMethod.GET && raw.path == PATH

    suspend fun answer(raw: RawRequest, reply: Reply) {
        val config = core.config.current
        val key = RequestReader.keyOf(raw.headers, config)
        val workspace = key?.let { config.workspaces[it.workspace] }
        if (workspace == null) {
            val hasKey = raw.headers.contains("authorization")
            return reply.refuse(if (hasKey) Refusal.INVALID_KEY else Refusal.MISSING_KEY)
        }
        val models = config.models.keys.filter(workspace::mayUse).sorted().map {
            JsonObject().put("id", it).put("object", "model").put("owned_by", "cactusfold")
        }
        reply.json(JsonObject().put("object", "list").put("data", JsonArray(models)))
    }

    private companion object {
        const val PATH = "/v1/models"
    }
}
