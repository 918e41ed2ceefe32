package cactusfold.entry.streams

/**
 * What this process knows of the software versions at which streams began.
 *
 * @property keptMillis how long callers may return to a stream.
 */
public class StreamBindings(
    public val recorded: RecordedVersions,
    public val own: OwnStreams,
    public val lookup: StreamLookup,
    public val keptMillis: () -> Long
)
