package cactusfold.entry.residency

/** Result of waiting for a model. */
public sealed interface ModelWait {
    /** An upstream has the model loaded. */
    public data object Ready : ModelWait

    /** No upstream has the only software version that can serve the request. */
    public data object VersionGone : ModelWait

    /** No upstream in the homes of the request may receive requests. */
    public data object HomesGone : ModelWait

    /** No load will complete in time; a retry after [retryAfterMillis] may succeed. */
    public data class Refused(public val retryAfterMillis: Long) : ModelWait
}
