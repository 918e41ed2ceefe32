package cactusfold.entry.callers

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** A head as it was decoded, with the version as it was written. */
internal class DecodedHead(val version: String, val target: String, val headers: HttpHeaders)

/**
 * Decides whether all readers of a head agree where its request ends, and whose it is.
 *
 * @param singleHeaders those that identify or authorise a request, so that two values have two
 *   readings.
 */
internal class HeadCheck(private val singleHeaders: Set<String>) {
    /** Returns why [head] is refused; null if it is not. */
    fun refusalOf(head: DecodedHead): InputRefusal? = when {
        head.version != CURRENT && head.version != OLD -> InputRefusal.VERSION_UNKNOWN
        else -> refusalOfFraming(head) ?: refusalOfHost(head)
            ?: InputRefusal.HEADER_REPEATED.takeIf {
                singleHeaders.any { head.headers.getAll(it).size > 1 }
            }
    }

    private fun refusalOfFraming(head: DecodedHead): InputRefusal? {
        val hasLength = head.headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        val hasCoding = head.headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
        return when {
            hasCoding && hasLength -> InputRefusal.LENGTH_AND_CODING
            hasCoding && head.version == OLD -> InputRefusal.CODING_IN_OLD_VERSION
            hasCoding -> refusalOfCodings(head.headers)
            hasLength -> null
            else -> InputRefusal.LENGTH_UNSTATED.takeIf {
                head.headers.contains(HttpHeaderNames.SEC_WEBSOCKET_KEY1) &&
                    head.headers.contains(HttpHeaderNames.SEC_WEBSOCKET_KEY2)
            }
        }
    }

    private fun refusalOfCodings(headers: HttpHeaders): InputRefusal? {
        val codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING).flatMap { it.split(',') }
            .map { it.trim(' ', '\t').lowercase() }
        return when {
            !codings.all(TOKEN::matches) -> InputRefusal.CODING_MALFORMED
            codings.count { it == CHUNKED } > 1 -> InputRefusal.CODING_REPEATED
            CHUNKED in codings.dropLast(1) -> InputRefusal.CODING_NOT_LAST
            codings != listOf(CHUNKED) -> InputRefusal.CODING_UNKNOWN
            else -> null
        }
    }

    private fun refusalOfHost(head: DecodedHead): InputRefusal? {
        val hosts = head.headers.getAll(HttpHeaderNames.HOST)
        val authority = head.target.takeUnless { it.startsWith('/') }
            ?.substringAfter("://", "")?.substringBefore('/')?.substringBefore('?')
            ?.takeIf { it.isNotEmpty() }
        return when {
            hosts.isEmpty() -> InputRefusal.HOST_MISSING.takeIf { head.version == CURRENT }
            hosts.size > 1 -> InputRefusal.HOST_REPEATED
            authority != null && !authority.equals(hosts.single(), ignoreCase = true) ->
                InputRefusal.HOST_REPEATED
            else -> null
        }
    }

    private companion object {
        const val CURRENT = "HTTP/1.1"
        const val OLD = "HTTP/1.0"
        const val CHUNKED = "chunked"
        val TOKEN = Regex("""[!#$%&'*+.^_`|~0-9a-z-]+""")
    }
}
