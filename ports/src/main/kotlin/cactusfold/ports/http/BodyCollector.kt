package cactusfold.ports.http

import io.vertx.core.Future
import io.vertx.core.Promise
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse

/** Thrown for an answer that exceeds what its receiver keeps of one, or of all at a time. */
public class AnswerTooLongException(message: String) : Exception(message)

/**
 * Collects the bodies of answers in memory: at most [maxBytes] of each, and of all together what
 * [budget] allows. An answer without end is given up at its limit, not at its timeout.
 */
public class BodyCollector(private val maxBytes: Int, private val budget: ByteBudget) {
    /**
     * Returns the body of [response]; fails with [AnswerTooLongException] and closes the connection
     * if it is too long. Has to be called when the response arrives, since data that nobody has
     * asked for is dropped.
     */
    public fun collect(response: HttpClientResponse): Future<Buffer> {
        val promise = Promise.promise<Buffer>()
        val share = budget.share()
        var body = Buffer.buffer()
        response.exceptionHandler(promise::tryFail)
        response.endHandler { promise.tryComplete(body) }
        response.handler { chunk ->
            val isOpen = !promise.future().isComplete
            if (isOpen &&
                body.length() + chunk.length() <= maxBytes &&
                share.tryTake(chunk.length())
            ) {
                body.appendBuffer(chunk)
            } else if (isOpen) {
                promise.fail(AnswerTooLongException("the answer is too long"))
                response.request().connection().close()
            }
        }
        return promise.future().onComplete {
            share.close()
            body = Buffer.buffer()
        }
    }
}
