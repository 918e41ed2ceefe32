package cactusfold.ports.serving

/** The limit on the requests of all VMs together that an upstream states in a response. */
public sealed interface StatedLimit {
    /** The response states no limit. */
    public data object None : StatedLimit

    /** The upstream accepts [requestsPerSecond]; zero if it wants no requests for now. */
    public data class Rate(public val requestsPerSecond: Double) : StatedLimit

    /** The response states something that is not a limit. */
    public data class Unreadable(public val text: String) : StatedLimit
}
