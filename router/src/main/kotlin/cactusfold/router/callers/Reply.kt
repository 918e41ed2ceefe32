package cactusfold.router.callers

import cactusfold.router.forward.BufferedResponse
import cactusfold.router.forward.ResponseHead
import cactusfold.router.forward.StreamSink
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerResponse
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait

/** Writes the response to one request. */
public class Reply(private val response: HttpServerResponse, private val id: String) {

    /**
     * Sends a complete response. A stream that a heartbeat has begun can only end with a stream; it
     * is aborted for any other response, since its status and type cannot be sent any more.
     */
    public suspend fun answer(answer: BufferedResponse) {
        if (response.headWritten()) {
            if (answer.head.isEventStream) return sendEvents(answer.body)
            val reason = "the upstream answered with status ${answer.head.status}"
            return abort(Refusal.upstream(reason, RunState.MAY_HAVE_RUN))
        }
        begin(answer.head)
        response.end(answer.body).coAwait()
    }

    /** Sends a JSON document. */
    public suspend fun json(body: JsonObject) {
        begin(ResponseHead(OK, listOf("content-type" to "application/json")))
        response.end(body.toBuffer()).coAwait()
    }

    /** Writes the head of a streamed response, unless a heartbeat has done so. */
    public fun beginStream(head: ResponseHead) {
        if (response.headWritten()) return
        begin(head)
        response.setChunked(true)
    }

    /** Writes a chunk of a streamed response; suspends under backpressure from the caller. */
    public suspend fun write(chunk: Buffer) {
        response.write(chunk).coAwait()
    }

    /** Ends a streamed response. */
    public suspend fun end() {
        response.end().coAwait()
    }

    /** Sends an SSE comment to a caller that waits for a stream. */
    public fun heartbeat() {
        if (response.ended() || response.closed()) return
        beginStream(ResponseHead(OK, listOf("content-type" to "text/event-stream")))
        response.write(": waiting\n\n")
    }

    /** Sends [refusal] as the response. */
    public suspend fun refuse(refusal: Refusal) {
        if (response.headWritten()) return abort(refusal)
        response.setStatusCode(refusal.status)
            .putHeader("content-type", "application/json")
            .putHeader(ID_HEADER, id)
            .putHeader(RUN_HEADER, refusal.run.header)
        refusal.retryAfterMillis?.let { response.putHeader("retry-after", seconds(it)) }
        response.end(errorOf(refusal).toBuffer()).coAwait()
    }

    /** Refuses a request that was not received completely, and prevents reuse of its connection. */
    public suspend fun refuseAndClose(refusal: Refusal) {
        response.putHeader("connection", "close")
        refuse(refusal)
    }

    /**
     * Aborts the response: sends an error event and resets the connection, or sends [refusal] if
     * the head has not been written yet.
     */
    public suspend fun abort(refusal: Refusal) {
        if (response.ended() || response.closed()) return
        if (!response.headWritten()) return refuse(refusal)
        val error = errorOf(refusal).put("run", refusal.run.header)
        response.write("event: error\ndata: ${error.encode()}\n\n").coAwait()
        response.reset()
    }

    private suspend fun sendEvents(body: Buffer) {
        response.end(body).coAwait()
    }

    private fun begin(head: ResponseHead) {
        response.setStatusCode(head.status)
        head.headers.forEach { (name, value) -> response.headers().add(name, value) }
        response.putHeader(ID_HEADER, id)
    }

    private fun errorOf(refusal: Refusal): JsonObject = JsonObject().put(
        "error",
        JsonObject()
            .put("message", refusal.message)
            .put("type", refusal.type)
            .put("code", refusal.code)
    )

    private fun seconds(millis: Long): String =
        ((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND).toString()

    public companion object {
        private const val OK = 200
        private const val MILLIS_PER_SECOND = 1_000L

        /** Response header with the request id. */
        public const val ID_HEADER: String = "X-Request-Id"

        /** Response header of refusals that tells whether the request was run. */
        public const val RUN_HEADER: String = "X-Cactusfold-Run"
    }
}

/** Forwards a streamed response to a caller. */
public class CallerSink(private val reply: Reply) : StreamSink {
    override suspend fun begin(head: ResponseHead) {
        reply.beginStream(head)
    }

    override suspend fun write(chunk: Buffer) {
        reply.write(chunk)
    }
}
