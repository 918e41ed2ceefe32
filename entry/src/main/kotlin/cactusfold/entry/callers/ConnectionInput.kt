package cactusfold.entry.callers

/** What arrives on a caller's connection before a request is whole. */
public interface ConnectionInput {
    /** Address that the connection comes from. */
    public val address: String

    /** Whether bytes that arrive are read; false while earlier requests have to be read first. */
    public val isReading: Boolean

    /**
     * Ends the head that is arriving: a request with the result [RefusedInput.Head] takes its place
     * behind the earlier ones, and nothing that follows on the connection is read as a request.
     */
    public fun refuseHead()
}

/** Is told of heads of which a part has arrived and the rest has not, and of the end of all input. */
public interface HeadListener {
    /** The first bytes of a head have arrived. */
    public fun headBegan()

    /** The rest of the head has arrived, or it was refused for its size. */
    public fun headEnded()

    /** The caller sends nothing more; it has left or only ended its output. */
    public fun inputEnded()

    /** A head or a body was refused for [reason]; nothing behind it is read as a request. */
    public fun refused(reason: String)
}
