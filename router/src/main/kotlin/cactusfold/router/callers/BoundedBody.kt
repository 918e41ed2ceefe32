package cactusfold.router.callers

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.CompletableDeferred

/** Result of receiving a request body. */
internal sealed interface BodyResult {
    class Complete(val buffer: Buffer) : BodyResult

    data object TooLarge : BodyResult
}

/** Buffers a request body of at most [maxBytes]. */
internal class BoundedBody(request: HttpServerRequest, private val maxBytes: Long) {
    private val result = CompletableDeferred<BodyResult>()
    private val collected = Buffer.buffer()

    init {
        request.handler { chunk ->
            if (collected.length() + chunk.length() > maxBytes) {
                result.complete(BodyResult.TooLarge)
            } else {
                collected.appendBuffer(chunk)
            }
        }
        request.endHandler { result.complete(BodyResult.Complete(collected)) }
        request.exceptionHandler { result.completeExceptionally(it) }
    }

    suspend fun await(): BodyResult = result.await()
}
