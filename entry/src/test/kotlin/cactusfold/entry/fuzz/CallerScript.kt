package cactusfold.entry.fuzz

import kotlin.random.Random

/** All that one caller sends on its connection, made from [seed] alone. */
internal class CallerScript(val seed: Int) {
    private val random = Random(seed)
    private val names = ArrayList<String>()
    private var count = 0

    /** Number of requests that are not within the body of another. */
    var requests: Int = 0
        private set

    /** What is sent, with a character for each byte. */
    val text: String = buildString {
        repeat(random.nextInt(1, MAX_REQUESTS)) { append(request()) }
        if (random.nextInt(ENDS_OPEN) != 0) {
            requests++
            append(RequestDraft(nextId(), random, "").apply { fields += "Connection: close" })
        }
    }

    /** The pieces in which [text] is sent. */
    val pieces: List<ByteArray> = split().map { it.toByteArray(Charsets.ISO_8859_1) }

    /** The changes that were made to the requests, in order. */
    val mutations: List<String> get() = names

    private fun nextId() = "f$seed-${++count}"

    private fun request(): String {
        requests++
        val draft = RequestDraft(nextId(), random, content())
        if (random.nextInt(MUTATED) == 0) {
            repeat(if (random.nextInt(4) == 0) 2 else 1) {
                val mutation = Mutation.ALL.random(random)
                names += mutation.name
                mutation.apply(draft, random)
            }
        }
        return "$draft"
    }

    /** Returns nothing, text, or bytes that read as requests where a body isn't seen as one. */
    private fun content(): String = when (random.nextInt(4)) {
        0 -> ""
        1 -> "words-".repeat(random.nextInt(1, 60))
        2 -> "${RequestDraft(nextId(), random, "")}"
        else -> "0\r\n\r\n${RequestDraft(nextId(), random, "more")}"
    }

    private fun split(): List<String> {
        val cuts = when (random.nextInt(4)) {
            0 -> emptyList()
            1 -> List(random.nextInt(1, 4)) { random.nextInt(text.length) }
            2 -> List(random.nextInt(4, 16)) { random.nextInt(text.length) }
            else -> random.nextInt(text.length).let {
                it..minOf(it + SINGLE_BYTES, text.length - 1)
            }
        }
        return (listOf(0) + cuts + text.length).distinct().sorted()
            .zipWithNext { from, to -> text.substring(from, to) }
    }

    private companion object {
        const val MAX_REQUESTS = 7

        /** One in this many requests is changed. */
        const val MUTATED = 3

        /** One in this many scripts ends without a request that ends the connection. */
        const val ENDS_OPEN = 15
        const val SINGLE_BYTES = 40
    }
}
