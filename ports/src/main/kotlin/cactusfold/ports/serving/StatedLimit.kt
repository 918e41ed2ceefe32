package cactusfold.ports.serving

/**
 * The limit that an upstream states in a response on the requests of all VMs together, or on those
 * of them that it has to turn away.
 */
public sealed interface StatedLimit {
    /** The response states no limit. */
    public data object None : StatedLimit

    /** The upstream accepts [requestsPerSecond]; zero if it wants no requests for now. */
    public data class Rate(public val requestsPerSecond: Double) : StatedLimit

    /** The response states something that is not a limit. */
    public data class Unreadable(public val text: String) : StatedLimit
}
