package cactusfold.entry.callers

import cactusfold.platform.standin.AnswerFraming

/** First lines of answers, and what follows them. */
object StatusLines {
    /** Statuses that do not exist, that were not asked for, or that have no three digits. */
    private val statuses = listOf(
        "000", "099", "600", "999", "101", "102", "199",
        "", "Status", "x", "2", "20", "2x0", "20x", "-200", "+20",
        "0200", "00200", "+200", "0202", "0404", "0409", "0410", "0412", "0503", "2000", "20000",
        "4294967496", "99999999999999999999"
    )

    /** Lines that are the first ones of no answer. */
    val ALL: List<String> = statuses.map { "HTTP/1.1 $it Status".replace("  ", " ") } +
        listOf("HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 000", "HTTP/1.0 000 Status")

    /** Some of them, with what looks like an accepted order, one that is refused and others. */
    val ORDERS: List<String> = listOf("000", "101", "999", "x", "0200", "0202", "0409", "0503")
        .map { "HTTP/1.1 $it Status" }

    /** Whole heads that an answer may follow. */
    val INTERIM: List<String> = listOf("100 Continue", "103 Early Hints").map {
        "HTTP/1.1 $it\r\nLink: </a>\r\n\r\n"
    }

    /** Returns [head], which is without its end, and [body] as [framing] requires. */
    fun framed(head: String, framing: AnswerFraming, body: String): String = when (framing) {
        AnswerFraming.LENGTH ->
            "${head}Content-Length: ${body.length}\r\n\r\n$body"

        AnswerFraming.CHUNKS ->
            "${head}Transfer-Encoding: chunked\r\n\r\n" +
                "${body.length.toString(HEXADECIMAL)}\r\n$body\r\n0\r\n\r\n"

        AnswerFraming.CONNECTION_CLOSE -> "$head\r\n$body"
    }

    private const val HEXADECIMAL = 16
}
