package cactusfold.router.forward

import io.vertx.core.MultiMap

/** Headers that belong to one connection, and those that upstreams must not see. */
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

    /** Returns the headers of a request that an upstream may see: never the caller's key. */
    public fun towardsUpstream(headers: MultiMap): List<Pair<String, String>> {
        val named = named(headers)
        return headers.entries().map { it.key.lowercase() to it.value }
            .filter { (name, _) -> name !in hopByHop && name !in secret && name !in named }
    }

    /** Returns the headers of an answer that the caller may see. */
    public fun towardsCaller(headers: MultiMap): List<Pair<String, String>> {
        val named = named(headers)
        return headers.entries().map { it.key.lowercase() to it.value }
            .filter { (name, _) -> name !in hopByHop && name !in named && name != "x-request-id" }
    }

    /** Headers that the connection header names are hop-by-hop too. */
    private fun named(headers: MultiMap): Set<String> = headers.getAll("connection")
        .flatMap { it.split(',') }
        .mapTo(mutableSetOf()) { it.trim().lowercase() }
}
