package cactusfold.entry.process

/** How many connections of each kind the [descriptors] of the process allow. */
public class ConnectionShares(descriptors: Int) {
    private val sockets = descriptors - FILES

    /** For readiness checks and readers of metrics. */
    public val statusCount: Int = sockets / 16

    /**
     * For callers and peers that pass requests on, after an eighth that is kept for new ones: a
     * request needs a connection to an upstream as well, and the store and the peers some.
     */
    public val callerCount: Int = (sockets / 2 - statusCount).let { it - it / 8 }

    private companion object {
        /** Descriptors that the platform reserves for files. */
        const val FILES = 200
    }
}
