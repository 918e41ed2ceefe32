package cactusfold.decisions.held

import java.util.PriorityQueue

/**
 * The open connections of callers, and which of them go when there are more than [maxCount].
 *
 * They are taken from the address that has most connections, so that no address takes the places of
 * others; of its connections first those that have had no whole request for the longest time. A
 * connection with a whole request in progress never goes. Only [excess] looks at all addresses, and
 * only when there are too many connections.
 */
public class OpenConnections<A : Any, C : Any>(public val maxCount: Int) {
    private class Address<C> {
        var count = 0

        /** Those without a whole request in progress, the longest without one first. */
        val idle = LinkedHashSet<C>()
    }

    /** What an address has left while connections are chosen. */
    private class Rest<C>(address: Address<C>) {
        var count = address.count
        val idle = address.idle.iterator()
    }

    private val addresses = HashMap<A, Address<C>>()

    /** Number of open connections. */
    public var count: Int = 0
        private set

    /** Whether there are more connections than there may be. */
    public val isOver: Boolean get() = count > maxCount

    /** Adds [connection] of [address], which has no request yet. */
    public fun opened(address: A, connection: C) {
        val state = addresses.getOrPut(address) { Address() }
        state.count++
        count++
        state.idle += connection
    }

    /** Records that [connection] of [address] has a whole request in progress. */
    public fun busy(address: A, connection: C) {
        addresses[address]?.idle?.remove(connection)
    }

    /** Records that [connection] of [address] has no request in progress any more. */
    public fun idle(address: A, connection: C) {
        addresses[address]?.idle?.add(connection)
    }

    /** Removes [connection] of [address]. */
    public fun closed(address: A, connection: C) {
        val state = addresses[address] ?: return
        state.idle -= connection
        count--
        if (--state.count == 0) addresses -= address
    }

    /** Returns the connections that go; fewer than necessary if the others have requests. */
    public fun excess(): List<C> {
        if (!isOver) return emptyList()
        val rests = PriorityQueue<Rest<C>>(compareByDescending { it.count })
        addresses.values.mapTo(rests) { Rest(it) }
        return buildList {
            while (size < count - maxCount) {
                val rest = rests.poll() ?: break
                if (!rest.idle.hasNext()) continue
                add(rest.idle.next())
                rest.count--
                rests += rest
            }
        }
    }
}
