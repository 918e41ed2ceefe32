package cactusfold.ports.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass

/**
 * Decides what the head of a response shows about the response and its connection.
 *
 * @property nameHeader the header in which servers name the request that they answer; null if they
 *   do not.
 * @property closesOnFailure whether a connection that brought a client or server error carries no
 *   further request. If it does, a faulty server may write the response once more, and that is
 *   taken for the response to the next request.
 * @property isReused whether a connection carries more than one request. If it does, nothing but a
 *   name tells a late copy of an earlier response from that to the next request.
 */
public data class ResponseRules(
    public val nameHeader: String? = null,
    public val closesOnFailure: Boolean = false,
    public val isReused: Boolean = true
) {
    /** Returns why [response] cannot be the head of one response; null if it can. */
    internal fun faultOf(response: HttpResponse): String? {
        val status = response.status()
        val names = nameHeader?.let(response.headers()::getAll).orEmpty()
        return when {
            status.code() !in STATUSES -> "the status ${status.code()} does not exist"
            status.codeClass() == HttpStatusClass.INFORMATIONAL && status !in INTERIM ->
                "the interim status ${status.code()} was not asked for"
            STATUS_LINE.containsMatchIn(status.reasonPhrase()) ->
                "the reason phrase holds another status line"
            isLengthUnclear(response) -> "the response states two lengths, or an unknown coding"
            names.size > 1 -> "the response names ${names.size} requests"
            else -> response.headers().asSequence()
                .firstOrNull { STATUS_LINE.containsMatchIn(it.value) }
                ?.let { "the header ${it.key} holds another status line" }
        }
    }

    /** Whether readers may disagree about where the body of [response] ends. */
    private fun isLengthUnclear(response: HttpResponse): Boolean {
        val codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        if (codings.isEmpty()) return false
        return response.headers().contains(HttpHeaderNames.CONTENT_LENGTH) ||
            !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.singleOrNull())
    }

    /** Whether a connection that brought [response] may carry a further request. */
    internal fun allowsReuse(response: HttpResponse): Boolean {
        if (!isReused) return false
        if (closesOnFailure && response.status().code() >= FAILURES_FROM) return false
        return nameHeader == null || response.headers().contains(nameHeader)
    }

    private companion object {
        val STATUSES = 100..599
        val INTERIM = setOf(HttpResponseStatus.CONTINUE, HttpResponseStatus.EARLY_HINTS)
        const val FAILURES_FROM = 400
        val STATUS_LINE = Regex("""HTTP/\d\.\d +\d""")
    }
}
