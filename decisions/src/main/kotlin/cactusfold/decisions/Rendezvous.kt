package cactusfold.decisions

import com.google.common.hash.Hashing

/**
 * Rendezvous hashing (highest random weight): a change of one of n members moves about 1/n of the
 * keys.
 */
public object Rendezvous {
    private val hash = Hashing.murmur3_128()

    /** Returns the member of [members] that [key] prefers, or null when there is none. */
    public fun preferred(key: String, members: Iterable<String>): String? =
        preferred(key, members.asSequence())

    /** Returns the member of [members] that [key] prefers, or null when there is none. */
    public fun preferred(key: String, members: Sequence<String>): String? =
        members.maxByOrNull { weight(key, it) }

    /** Returns the [count] members of [members] that [key] prefers, the most preferred first. */
    public fun ranked(key: String, members: List<String>, count: Int): List<String> =
        members.map { it to weight(key, it) }.sortedByDescending { it.second }.take(count)
            .map { it.first }

    /** Returns the bucket from 0 until [buckets] that [key] falls into. */
    public fun bucket(key: String, buckets: Int): Int =
        Math.floorMod(hash.hashUnencodedChars(key).asLong(), buckets)

    private fun weight(key: String, member: String): Long =
        hash.newHasher().putUnencodedChars(key).putChar('\u0000').putUnencodedChars(member)
            .hash().asLong()
}
