package cactusfold.router.callers

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.CompletableDeferred

/** How receiving a body ended. */
internal sealed interface BodyEnd {
    class Whole(val buffer: Buffer) : BodyEnd

    data object TooLarge : BodyEnd
}

/** Collects a request's body up to [maxBytes]. */
internal class BoundedBody(request: HttpServerRequest, private val maxBytes: Long) {
    private val end = CompletableDeferred<BodyEnd>()
    private val collected = Buffer.buffer()

    init {
        request.handler { piece ->
            if (collected.length() + piece.length() > maxBytes) {
                end.complete(BodyEnd.TooLarge)
            } else {
                collected.appendBuffer(piece)
            }
        }
        request.endHandler { end.complete(BodyEnd.Whole(collected)) }
        request.exceptionHandler { end.completeExceptionally(it) }
    }

    suspend fun await(): BodyEnd = end.await()
}
