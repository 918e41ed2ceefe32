package cactusfold.entry.process

/**
 * How much of a heap of [heapBytes] the bodies of each kind may take together. The rest is for the
 * state of the process and for garbage.
 */
public class MemoryShares(heapBytes: Long) {
    /** For bodies of callers' requests until the requests end: two of the largest, as deployed. */
    public val callerBodyBytes: Long = heapBytes / 4

    /** For answers of upstreams to these requests while they arrive. */
    public val answerBytes: Long = heapBytes / 6

    /** For answers of the platform's store. */
    public val storeBytes: Long = heapBytes / 6

    /** For reports of runners and their answers to orders. */
    public val reportBytes: Long = heapBytes / 36

    /**
     * For events of streams that wait for callers: 4 MB, as deployed. They are in direct memory,
     * of which a process has 16 MB, and their queue entries on the heap.
     */
    public val heldBytes: Long = heapBytes / 9

    public companion object {
        /** Returns the shares of this process. */
        public fun ofProcess(): MemoryShares = MemoryShares(Runtime.getRuntime().maxMemory())
    }
}
