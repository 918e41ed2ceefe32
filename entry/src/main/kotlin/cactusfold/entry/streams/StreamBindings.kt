package cactusfold.entry.streams

import cactusfold.decisions.streams.StreamOrigin
import cactusfold.entry.upstream.Upstream
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async

/**
 * What this process knows of the software versions at which streams began.
 *
 * @property starts whether upstreams run that are registered.
 * @param keptMillis how long callers may return to a stream.
 */
public class StreamBindings(
    private val scope: CoroutineScope,
    public val recorded: RecordedVersions,
    public val own: OwnStreams,
    public val lookup: StreamLookup,
    public val starts: StartCheck,
    private val keptMillis: () -> Long
) {
    /**
     * Records that the stream [id] began at [origin], as [upstream] has it, once it is certain that
     * the answer was not of another start of the upstream. Returns whether it is. A stream without
     * an id cannot be taken up.
     */
    public fun bind(id: String?, origin: StreamOrigin, upstream: Upstream): Deferred<Boolean> {
        val check = scope.async {
            starts.checkSoon(upstream).await().also { isCertain ->
                id?.let { own.began(it, origin.takeIf { isCertain }, keptMillis()) }
            }
        }
        id?.let { own.awaits(it, check) }
        return check
    }

    /** Records that the stream [id], which began at [origin], goes on. */
    public fun continued(id: String, origin: StreamOrigin): Unit =
        own.began(id, origin, keptMillis())
}
