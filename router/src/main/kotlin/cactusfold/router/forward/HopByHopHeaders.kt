package cactusfold.router.forward

import io.vertx.core.MultiMap

/** Filters hop-by-hop headers, and the credentials that upstreams must not receive. */
public object HopByHopHeaders {
    private val hopByHop = setOf(
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length"
    )
    private val secret = setOf("authorization", "cookie", "x-api-key")

    /** Returns the request headers to forward to an upstream, without the caller's credentials. */
    public fun towardsUpstream(headers: MultiMap): List<Pair<String, String>> {
        val named = named(headers)
        return headers.entries().map { it.key.lowercase() to it.value }
            .filter { (name, _) -> name !in hopByHop && name !in secret && name !in named }
    }

    /** Returns the response headers to forward to the caller. */
    public fun towardsCaller(headers: MultiMap): List<Pair<String, String>> {
        val named = named(headers)
        return headers.entries().map { it.key.lowercase() to it.value }
            .filter { (name, _) -> name !in hopByHop && name !in named && name != "x-request-id" }
    }

    /** Headers named by the Connection header, which are hop-by-hop too. */
    private fun named(headers: MultiMap): Set<String> = headers.getAll("connection")
        .flatMap { it.split(',') }
        .mapTo(mutableSetOf()) { it.trim().lowercase() }
}
