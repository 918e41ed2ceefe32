package cactusfold.decisions.streams

/**
 * Where a stream began. Only upstreams of the same service and software version can continue it,
 * since the events of two versions do not fit together.
 */
public data class StreamOrigin(public val service: String, public val softwareVersion: String)
