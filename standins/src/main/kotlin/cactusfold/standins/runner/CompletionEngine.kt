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

/** Serves `/v1/chat/completions` and `/v1/completions` with made-up words at a steady pace. */
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
    var sawKey = false

    private val slots = Semaphore(options.slots)
    private val open: MutableSet<HttpServerRequest> = ConcurrentHashMap.newKeySet()
    private val prefixes = LinkedHashSet<Int>()

    fun dropAll() {
        open.forEach { it.connection().close() }
    }

    suspend fun serve(request: HttpServerRequest) {
        if (request.getHeader("authorization") != null) sawKey = true
        val body = request.body().coAwait().toJsonObject()
        val model = body.getString("model").orEmpty()
        if (memory.models[model]?.phase != LoadedPhase.READY) {
            val error = JsonObject().put("message", "model $model is not loaded")
            request.response().setStatusCode(NOT_FOUND)
                .end(JsonObject().put("error", error).toBuffer()).coAwait()
            return
        }
        open += request
        waiting.incrementAndGet()
        try {
            slots.withPermit {
                waiting.decrementAndGet()
                running.incrementAndGet()
                try {
                    run(request, body)
                } finally {
                    running.decrementAndGet()
                }
            }
        } finally {
            open -= request
        }
    }

    private suspend fun run(request: HttpServerRequest, body: JsonObject) {
        val prompt = promptOf(body)
        if (options.crashWord in prompt) {
            crash()
            return
        }
        val promptTokens = tokens(prompt)
        val cached = isCached(prompt)
        if (!cached) delay(promptTokens / options.promptTokensPerMilli.toLong())
        val count = minOf(body.getInteger("max_tokens") ?: DEFAULT_TOKENS, MAX_TOKENS)
        val reply = Reply(request, body, promptTokens, count)
        if (body.getBoolean("stream", false)) stream(reply) else whole(reply)
    }

    private suspend fun whole(reply: Reply) {
        for (i in 0 until reply.count) {
            delay(options.tokenMillis)
            if (reply.isGone) return leave()
        }
        val text = (0 until reply.count).joinToString(" ") { word(it) }
        reply.response.putHeader("content-type", "application/json")
        reply.response.end(reply.wholeBody(text).toBuffer()).coAwait()
        finished.incrementAndGet()
    }

    private suspend fun stream(reply: Reply) {
        reply.response.setChunked(true).putHeader("content-type", "text/event-stream")
        for (i in 0 until reply.count) {
            delay(options.tokenMillis)
            if (reply.isGone) return leave()
            reply.response.write("data: ${reply.chunk(word(i) + " ", null).encode()}\n\n").coAwait()
        }
        reply.response.write("data: ${reply.lastChunk().encode()}\n\n").coAwait()
        reply.response.end("data: [DONE]\n\n").coAwait()
        finished.incrementAndGet()
    }

    private fun leave() {
        cancelled.incrementAndGet()
    }

    private fun isCached(prompt: String): Boolean = synchronized(prefixes) {
        val prefix = prompt.take(PREFIX_CHARS).hashCode()
        val known = prefix in prefixes
        prefixes -= prefix
        prefixes += prefix
        if (prefixes.size > options.prefixCacheEntries) prefixes -= prefixes.first()
        known
    }

    private fun promptOf(body: JsonObject): String = body.getString("prompt")
        ?: body.getJsonArray("messages")?.joinToString("\n") {
            (it as JsonObject).getString("content", "")
        }.orEmpty()

    private fun tokens(text: String): Int = (text.length + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN

    private fun word(i: Int): String = WORDS[i % WORDS.size]

    private class Reply(
        val request: HttpServerRequest,
        val body: JsonObject,
        val promptTokens: Int,
        val count: Int
    ) {
        val response: HttpServerResponse = request.response()
        private val isChat = request.path().contains("chat")
        private val id = request.getHeader("x-request-id") ?: "none"

        @Volatile
        var isGone = false

        init {
            response.putHeader("x-request-id", id)
            response.exceptionHandler { isGone = true }
            response.closeHandler { isGone = true }
        }

        fun wholeBody(text: String): JsonObject {
            val choice = JsonObject().put("index", 0).put("finish_reason", "stop")
            if (isChat) {
                val message = JsonObject().put("role", "assistant").put("content", text)
                choice.put("message", message)
            } else {
                choice.put("text", text)
            }
            return frame(if (isChat) "chat.completion" else "text_completion", choice)
                .put("usage", usage())
        }

        fun chunk(text: String, finish: String?): JsonObject {
            val choice = JsonObject().put("index", 0).put("finish_reason", finish)
            if (isChat) {
                choice.put("delta", JsonObject().put("content", text))
            } else {
                choice.put("text", text)
            }
            return frame(if (isChat) "chat.completion.chunk" else "text_completion", choice)
        }

        fun lastChunk(): JsonObject = chunk("", "stop").put("usage", usage())

        private fun frame(kind: String, choice: JsonObject): JsonObject = JsonObject()
            .put("id", id)
            .put("object", kind)
            .put("created", System.currentTimeMillis() / MILLIS_PER_SECOND)
            .put("model", body.getString("model"))
            .put("choices", JsonArray().add(choice))

        private fun usage(): JsonObject = JsonObject()
            .put("prompt_tokens", promptTokens)
            .put("completion_tokens", count)
            .put("total_tokens", promptTokens + count)
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
