package cactusfold.entry.streams

import cactusfold.decisions.streams.KnownStream
import cactusfold.decisions.streams.StreamOrigin
import cactusfold.protocol.entry.BoundStream

/** The origin that this message states; null if it is uncertain. */
internal val BoundStream.origin: StreamOrigin?
    get() = if (softwareVersion.isEmpty()) null else StreamOrigin(service, softwareVersion)

/** Returns the message about the stream that began with request [id], as of [nowMillis]. */
internal fun KnownStream.message(id: String, nowMillis: Long): BoundStream =
    BoundStream.newBuilder().setId(id).setService(origin?.service.orEmpty())
        .setSoftwareVersion(origin?.softwareVersion.orEmpty())
        .setKeptMillis((expiresAtMillis - nowMillis).coerceAtLeast(0)).build()
