package cactusfold.entry.callers

/**
 * Why what arrived on a connection is not read as a request, nor anything behind it.
 *
 * @property code names the reason in logs, metrics and the answer.
 */
internal enum class InputRefusal(val status: Int, val code: String) {
    HEAD_TIMED_OUT(408, "head-timed-out"),
    LINE_TOO_LARGE(414, "line-too-large"),
    HEAD_TOO_LARGE(431, "head-too-large"),

    /** The decoder cannot read it, such as lengths that differ. */
    HEAD_MALFORMED(400, "head-malformed"),
    BYTES_BEFORE_HEAD(400, "bytes-before-head"),
    REQUEST_LINE(400, "request-line"),
    FOLDED_LINE(400, "folded-line"),
    FIELD_WITHOUT_COLON(400, "field-without-colon"),
    VERSION_UNKNOWN(501, "version-unknown"),
    HOST_MISSING(400, "host-missing"),
    HOST_REPEATED(400, "host-repeated"),
    LENGTH_AND_CODING(400, "length-and-coding"),

    /** Some readers give such a request a body without a length or a coding. */
    LENGTH_UNSTATED(400, "length-unstated"),
    CODING_MALFORMED(400, "coding-malformed"),
    CODING_REPEATED(400, "coding-repeated"),
    CODING_NOT_LAST(400, "coding-not-last"),
    CODING_UNKNOWN(501, "coding-unknown"),
    CODING_IN_OLD_VERSION(400, "coding-in-old-version"),
    HEADER_REPEATED(400, "header-repeated"),

    /** The body ends in what is no chunk; the request was not sent on. */
    CHUNK_MALFORMED(400, "chunk-malformed");

    /** The answer to the caller. */
    val answer: ErrorAnswer.Rejected get() = ErrorAnswer.Rejected(status, code)
}
