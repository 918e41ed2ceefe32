package cactusfold.router.callers

import cactusfold.ports.json.BoundedJson
import cactusfold.settings.fleet.CallerKey
import cactusfold.settings.fleet.FleetConfig
import cactusfold.settings.fleet.Route
import cactusfold.settings.fleet.Workspace
import com.google.common.hash.Hashing
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.json.DecodeException
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject

/** A completely received request before interpretation. */
public class RawRequest(
    public val id: String,
    public val method: HttpMethod,
    public val path: String,
    public val uri: String,
    public val headers: MultiMap,
    public val body: Buffer,
    public val arrivedAtMillis: Long
)

/**
 * A request whose route, workspace and model are known.
 *
 * @property workspace null on an open route that was called without a valid key.
 * @property model null on routes to plain services.
 * @property costTokens what the request counts for against the workspace's rate and fair share.
 */
public class CallerRequest(
    public val raw: RawRequest,
    public val route: Route,
    public val workspace: Workspace?,
    public val keyDigest: String?,
    public val model: String?,
    public val isStream: Boolean,
    public val costTokens: Long,
    public val targetMillis: Long
) {
    /** Name of the workspace, or empty if there is none. */
    public val workspaceName: String get() = workspace?.name.orEmpty()

    /** Deadline for sending the request to an upstream. */
    public val deadlineMillis: Long get() = raw.arrivedAtMillis + targetMillis

    /** SHA-256 digest of workspace, route, method, URI and body; equal for equal requests. */
    public val fingerprint: String by lazy {
        Hashing.sha256().newHasher()
            .putString("$workspaceName\n${route.name}\n${raw.method}\n${raw.uri}\n", Charsets.UTF_8)
            .putBytes(raw.body.bytes)
            .hash().toString()
    }
}

/** Result of [RequestReader.read]. */
public sealed interface RequestReadResult {
    /** The request is valid and its workspace may make it. */
    public data class Accepted(public val request: CallerRequest) : RequestReadResult

    /** The request is answered with [refusal]. */
    public data class Rejected(public val refusal: Refusal) : RequestReadResult
}

/** Validates requests and resolves their route, workspace and model. */
public object RequestReader {
    private const val BEARER = "Bearer "
    private const val CHARS_PER_TOKEN = 4
    private const val DEFAULT_MAX_TOKENS = 256
    private const val MAX_TOKENS = 1_000_000

    /** Returns the API key that [headers] carry, or null if it is missing or unknown. */
    public fun keyOf(headers: MultiMap, config: FleetConfig): CallerKey? {
        val secret = headers["authorization"]?.takeIf { it.startsWith(BEARER) } ?: return null
        return config.keysByDigest[digestOf(secret.removePrefix(BEARER).trim())]
    }

    /** Returns the digest that identifies the API key [secret] in the configuration. */
    public fun digestOf(secret: String): String =
        Hashing.sha256().hashString(secret, Charsets.UTF_8).toString()

    /** Interprets [raw] according to [config]. */
    public fun read(raw: RawRequest, config: FleetConfig): RequestReadResult {
        val route =
            config.routeFor(raw.path) ?: return RequestReadResult.Rejected(Refusal.UNKNOWN_ROUTE)
        val key = keyOf(raw.headers, config)
        val workspace = key?.let { config.workspaces[it.workspace] }
        if (workspace == null && !route.isOpen) return RequestReadResult.Rejected(keyRefusal(raw))
        return if (route.services == null) {
            modelRequest(raw, config, route, workspace, key)
        } else {
            val target = config.classes.getValue(route.workClass).targetMillis
            RequestReadResult.Accepted(
                CallerRequest(
                    raw,
                    route,
                    workspace,
                    key?.sha256,
                    null,
                    false,
                    route.costTokens,
                    target
                )
            )
        }
    }

    private fun keyRefusal(raw: RawRequest): Refusal =
        if (raw.headers.contains("authorization")) Refusal.INVALID_KEY else Refusal.MISSING_KEY

    private fun modelRequest(
        raw: RawRequest,
        config: FleetConfig,
        route: Route,
        workspace: Workspace?,
        key: CallerKey?
    ): RequestReadResult {
        val body = parse(raw.body) ?: return RequestReadResult.Rejected(Refusal.BAD_JSON)
        val problem = fieldProblem(raw.path, body)
        if (problem != null) return RequestReadResult.Rejected(problem)
        val model = body.getString("model")
        val known = config.models[model]
        if (known == null || workspace?.mayUse(model) == false) {
            return RequestReadResult.Rejected(Refusal.unknownModel(model))
        }
        val workClass = config.classes.getValue(known.workClass ?: route.workClass)
        return RequestReadResult.Accepted(
            CallerRequest(
                raw,
                route,
                workspace,
                key?.sha256,
                model,
                body.getBoolean("stream", false),
                costOf(body),
                workClass.targetMillis
            )
        )
    }

    private fun parse(body: Buffer): JsonObject? = try {
        BoundedJson.parseObject(body.bytes)
    } catch (_: DecodeException) {
        null
    }

    private fun fieldProblem(path: String, body: JsonObject): Refusal? {
        val maxTokens = body.getValue("max_tokens")
        return when {
            body.getValue("model") !is String -> Refusal.badField("model", "the name of a model")
            maxTokens != null && (maxTokens !is Int || maxTokens !in 1..MAX_TOKENS) ->
                Refusal.badField("max_tokens", "a whole number from 1 to $MAX_TOKENS")
            body.getValue("stream")?.let { it !is Boolean } == true ->
                Refusal.badField("stream", "true or false")
            path.contains("chat") -> messagesProblem(body.getValue("messages"))
            body.getValue("prompt") !is String -> Refusal.badField("prompt", "a text")
            else -> null
        }
    }

    private fun messagesProblem(messages: Any?): Refusal? {
        val expected = "a list of objects with 'role' and 'content'"
        val isValid = messages is JsonArray &&
            !messages.isEmpty &&
            messages.all {
                it is JsonObject && it.getValue("role") is String && it.containsKey("content")
            }
        return if (isValid) null else Refusal.badField("messages", expected)
    }

    /** Estimated prompt tokens plus the maximum number of output tokens. */
    private fun costOf(body: JsonObject): Long {
        val prompt = body.getValue("prompt")?.toString() ?: body.getValue("messages").toString()
        val output = body.getInteger("max_tokens") ?: DEFAULT_MAX_TOKENS
        return (prompt.length / CHARS_PER_TOKEN + output).toLong()
    }
}
