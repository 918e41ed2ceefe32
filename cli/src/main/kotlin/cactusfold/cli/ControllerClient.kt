package cactusfold.cli

import cactusfold.ports.http.HttpCall
import cactusfold.ports.http.HttpOutcome
import cactusfold.ports.http.PlatformHttp
import cactusfold.settings.schema.HostPort
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking

/** Response of a controller. */
internal sealed interface ControllerResponse {
    data class Ok(val body: Buffer) : ControllerResponse

    /** The submitted document is invalid. */
    data class Invalid(val problems: List<String>) : ControllerResponse

    /** A concurrent configuration change was accepted first. */
    data class Conflict(val reason: String) : ControllerResponse

    data class Unavailable(val reason: String) : ControllerResponse
}

/** Blocking client of a controller's admin API. */
internal class ControllerClient(private val address: HostPort) {
    fun get(path: String): ControllerResponse = send(HttpCall("GET", path))

    fun post(path: String, body: ByteArray, headers: Map<String, String>): ControllerResponse =
        send(HttpCall("POST", path, headers, body))

    private fun send(call: HttpCall): ControllerResponse = runBlocking {
        val vertx = Vertx.vertx()
        try {
            val http = PlatformHttp(vertx, address.host, address.port, TIMEOUT_MILLIS)
            responseOf(http.send(call))
        } finally {
            vertx.close().coAwait()
        }
    }

    private fun responseOf(outcome: HttpOutcome): ControllerResponse = when (outcome) {
        is HttpOutcome.NotSent -> ControllerResponse.Unavailable("$address: ${outcome.reason}")
        is HttpOutcome.NoAnswer ->
            ControllerResponse.Unavailable(
                "$address: ${outcome.reason}; the request may have been processed, " +
                    "check before retrying"
            )
        is HttpOutcome.Answer -> when (outcome.status) {
            OK -> ControllerResponse.Ok(outcome.body)
            CONFLICT -> ControllerResponse.Conflict(errorOf(outcome))
            UNPROCESSABLE -> ControllerResponse.Invalid(problemsOf(outcome))
            else -> ControllerResponse.Unavailable("status ${outcome.status} ${errorOf(outcome)}")
        }
    }

    private fun errorOf(answer: HttpOutcome.Answer): String =
        answer.json()?.getString("error").orEmpty()

    private fun problemsOf(answer: HttpOutcome.Answer): List<String> {
        val problems = answer.json()?.getJsonArray("problems") ?: return listOf(errorOf(answer))
        return problems.map {
            val problem = it as JsonObject
            val message = problem.getString("message")
            problem.getInteger("line")?.let { line -> "$line: $message" } ?: message
        }
    }

    private companion object {
        const val TIMEOUT_MILLIS = 10_000L
        const val OK = 200
        const val CONFLICT = 409
        const val UNPROCESSABLE = 422
    }
}
