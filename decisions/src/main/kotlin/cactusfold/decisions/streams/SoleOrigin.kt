package cactusfold.decisions.streams

/**
 * Returns the only origin of the streams to which callers may still return for [keptMillis], or
 * null if there may be several. The service of a stream need not be that of its route, which may
 * have moved; so [records] are those of all services.
 */
public fun soleOrigin(
    records: Map<String, VersionRecord>,
    nowMillis: Long,
    keptMillis: Long
): StreamOrigin? {
    if (!records.values.all { it.isComplete(nowMillis, keptMillis) }) return null
    return records.flatMap { (service, record) ->
        record.keptVersions(nowMillis, keptMillis).map { StreamOrigin(service, it) }
    }.singleOrNull()
}
