package cactusfold.ports.json

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.StreamReadConstraints
import io.vertx.core.json.DecodeException
import io.vertx.core.json.JsonObject
import io.vertx.core.json.jackson.JacksonCodec

/**
 * Parses JSON that another process has written. The parser is recursive, so the nesting that it
 * follows is bounded: a deeper document would exhaust the stack of the thread that reads it.
 */
public object BoundedJson {
    /** Several times the depth of any document of the platform. */
    public const val MAX_DEPTH: Int = 64

    /** Several times the digits of any number that is not out of range. */
    private const val MAX_NUMBER_CHARS = 100

    private val factory: JsonFactory = JsonFactory.builder().streamReadConstraints(
        StreamReadConstraints.builder()
            .maxNestingDepth(MAX_DEPTH)
            .maxNumberLength(MAX_NUMBER_CHARS)
            .build()
    ).build()

    /**
     * Returns the JSON object in [bytes].
     *
     * @throws DecodeException if [bytes] are anything else.
     */
    public fun parseObject(bytes: ByteArray): JsonObject = try {
        JacksonCodec.fromParser(factory.createParser(bytes), Any::class.java) as? JsonObject
    } catch (e: DecodeException) {
        throw e
    } catch (e: RuntimeException) {
        throw DecodeException("cannot be parsed: $e", e)
    } ?: throw DecodeException("not a JSON object")
}
