package cactusfold.entry.callers

import cactusfold.ports.serving.RequestMetadata
import cactusfold.ports.serving.ServingRoute

/** Number of equal parts of the hash range, over which services are spread by weight. */
private const val HASH_STEPS = 10_000

/**
 * Selects a service of [route] by weight. The choice is a hash of the request's id, for a stream
 * that is resumed of that of the request that began it.
 */
internal fun selectService(route: ServingRoute, request: RequestMetadata): String {
    val shares = route.effectiveServices.ifEmpty { route.services }
    if (shares.size == 1) return shares.first().service
    val total = shares.sumOf { it.weight }
    val id = request.resumedId ?: request.id
    val point = Math.floorMod(id.hashCode(), HASH_STEPS) * total / HASH_STEPS
    var sum = 0.0
    return shares.firstOrNull { share ->
        sum += share.weight
        point < sum
    }?.service ?: shares.last().service
}
