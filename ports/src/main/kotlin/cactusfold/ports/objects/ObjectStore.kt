package cactusfold.ports.objects

import cactusfold.ports.http.HttpCall
import cactusfold.ports.http.HttpOutcome
import cactusfold.ports.http.PlatformHttp

/** The result of reading an object. */
public sealed interface ObjectResult {
    /** The object exists. */
    public class Found(public val bytes: ByteArray) : ObjectResult

    /** The object does not exist. */
    public data object Missing : ObjectResult

    /** The store did not respond, or responded with an error. */
    public data class Unavailable(public val reason: String) : ObjectResult
}

/** The platform's object store. */
public interface ObjectStore {
    /** Stores [bytes] under [key] and returns whether the store has confirmed it. */
    public suspend fun put(key: String, bytes: ByteArray): Boolean

    /** Returns the object under [key]. */
    public suspend fun get(key: String): ObjectResult
}

/** Accesses one bucket with `PUT` and `GET` of the path-style REST protocol of Amazon S3. */
public class S3ObjectStore(private val http: PlatformHttp, private val bucket: String) :
    ObjectStore {
    override suspend fun put(key: String, bytes: ByteArray): Boolean {
        val outcome = http.send(HttpCall("PUT", "/$bucket/$key", body = bytes))
        return outcome is HttpOutcome.Answer && outcome.status == OK
    }

    override suspend fun get(key: String): ObjectResult =
        when (val outcome = http.send(HttpCall("GET", "/$bucket/$key"))) {
            is HttpOutcome.Answer -> when (outcome.status) {
                OK -> ObjectResult.Found(outcome.body.bytes)
                NOT_FOUND -> ObjectResult.Missing
                else -> ObjectResult.Unavailable("status ${outcome.status}")
            }
            is HttpOutcome.NotSent -> ObjectResult.Unavailable(outcome.reason)
            is HttpOutcome.NoAnswer -> ObjectResult.Unavailable(outcome.reason)
        }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
    }
}
