package cactusfold.standins.runner

import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit

/** Serves `/v1/chat/completions` and `/v1/completions` with filler words at a fixed token rate. */
internal class CompletionEngine(
    private val options: RunnerOptions,
    private val memory: RunnerMemory,
    private val crash: () -> Unit
) {
    val running = AtomicInteger()
    val waiting = AtomicInteger()
    val cancelled = AtomicInteger()
    val finished = AtomicInteger()

    @Volatile
    var receivedAuthorization = false

    private val slots = Semaphore(options.slots)
    private val openRequests: MutableSet<HttpServerRequest> = ConcurrentHashMap.newKeySet()
    private val prefixes = LinkedHashSet<Int>()

    fun closeConnections() {
        openRequests.forEach { it.connection().close() }
    }

    suspend fun serve(request: HttpServerRequest) {
        if (request.getHeader("authorization") != null) receivedAuthorization = true
        val body = request.body().coAwait().toJsonObject()
        val model = body.getString("model").orEmpty()
        if (memory.models[model]?.phase != LoadedPhase.READY) {
            val error = JsonObject().put("message", "model $model is not loaded")
            request.response().setStatusCode(NOT_FOUND)
                .end(JsonObject().put("error", error).toBuffer()).coAwait()
            return
        }
        openRequests += request
        waiting.incrementAndGet()
        try {
            slots.withPermit {
                waiting.decrementAndGet()
                running.incrementAndGet()
                try {
                    generate(request, body)
                } finally {
                    running.decrementAndGet()
                }
            }
        } finally {
            openRequests -= request
        }
    }

    private suspend fun generate(request: HttpServerRequest, body: JsonObject) {
        val prompt = promptOf(body)
        if (options.crashMarker in prompt) {
            crash()
            return
        }
        val promptTokens = tokenCount(prompt)
        val cached = lookUpPrefix(prompt)
        if (!cached) delay(promptTokens / options.promptTokensPerMilli.toLong())
        val completionTokens = minOf(body.getInteger("max_tokens") ?: DEFAULT_TOKENS, MAX_TOKENS)
        val completion = Completion(request, body, promptTokens, completionTokens)
        if (body.getBoolean("stream", false)) sendStream(completion) else sendBuffered(completion)
    }

    private suspend fun sendBuffered(completion: Completion) {
        for (i in 0 until completion.completionTokens) {
            delay(options.tokenMillis)
            if (completion.isDisconnected) return recordCancellation()
        }
        val text = (0 until completion.completionTokens).joinToString(" ") { wordAt(it) }
        completion.response.putHeader("content-type", "application/json")
        completion.response.end(completion.fullBody(text).toBuffer()).coAwait()
        finished.incrementAndGet()
    }

    private suspend fun sendStream(completion: Completion) {
        completion.response.setChunked(true).putHeader("content-type", "text/event-stream")
        for (i in 0 until completion.completionTokens) {
            delay(options.tokenMillis)
            if (completion.isDisconnected) return recordCancellation()
            completion.response.write(
                "data: ${completion.chunk(wordAt(i) + " ", null).encode()}\n\n"
            ).coAwait()
        }
        completion.response.write("data: ${completion.lastChunk().encode()}\n\n").coAwait()
        completion.response.end("data: [DONE]\n\n").coAwait()
        finished.incrementAndGet()
    }

    private fun recordCancellation() {
        cancelled.incrementAndGet()
    }

    /** Records the prompt's prefix in an LRU cache and returns whether it was cached before. */
    private fun lookUpPrefix(prompt: String): Boolean = synchronized(prefixes) {
        val prefix = prompt.take(PREFIX_CHARS).hashCode()
        val wasCached = prefix in prefixes
        prefixes -= prefix
        prefixes += prefix
        if (prefixes.size > options.prefixCacheEntries) prefixes -= prefixes.first()
        wasCached
    }

    private fun promptOf(body: JsonObject): String = body.getString("prompt")
        ?: body.getJsonArray("messages")?.joinToString("\n") {
            (it as JsonObject).getString("content", "")
        }.orEmpty()

    private fun tokenCount(text: String): Int =
        (text.length + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN

    private fun wordAt(i: Int): String = WORDS[i % WORDS.size]

    private class Completion(
        val request: HttpServerRequest,
        val body: JsonObject,
        val promptTokens: Int,
        val completionTokens: Int
    ) {
        val response: HttpServerResponse = request.response()
        private val isChat = request.path().contains("chat")
        private val id = request.getHeader("x-request-id") ?: "none"

        @Volatile
        var isDisconnected = false

        init {
            response.putHeader("x-request-id", id)
            response.exceptionHandler { isDisconnected = true }
            response.closeHandler { isDisconnected = true }
        }

        fun fullBody(text: String): JsonObject {
            val choice = JsonObject().put("index", 0).put("finish_reason", "stop")
            if (isChat) {
                val message = JsonObject().put("role", "assistant").put("content", text)
                choice.put("message", message)
            } else {
                choice.put("text", text)
            }
            return completionObject(if (isChat) "chat.completion" else "text_completion", choice)
                .put("usage", usage())
        }

        fun chunk(text: String, finish: String?): JsonObject {
            val choice = JsonObject().put("index", 0).put("finish_reason", finish)
            if (isChat) {
                choice.put("delta", JsonObject().put("content", text))
            } else {
                choice.put("text", text)
            }
            return completionObject(
                if (isChat) "chat.completion.chunk" else "text_completion",
                choice
            )
        }

        fun lastChunk(): JsonObject = chunk("", "stop").put("usage", usage())

        private fun completionObject(kind: String, choice: JsonObject): JsonObject = JsonObject()
            .put("id", id)
            .put("object", kind)
            .put("created", System.currentTimeMillis() / MILLIS_PER_SECOND)
            .put("model", body.getString("model"))
            .put("choices", JsonArray().add(choice))

        private fun usage(): JsonObject = JsonObject()
            .put("prompt_tokens", promptTokens)
            .put("completion_tokens", completionTokens)
            .put("total_tokens", promptTokens + completionTokens)
    }

    private companion object {
        const val NOT_FOUND = 404
        const val DEFAULT_TOKENS = 16
        const val MAX_TOKENS = 4_096
        const val CHARS_PER_TOKEN = 4
        const val PREFIX_CHARS = 256
        const val MILLIS_PER_SECOND = 1_000L
        val WORDS = listOf("lane", "two", "is", "free", "from", "six", "until", "seven", "today")
    }
}
