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

/** What a controller answered. */
internal sealed interface ControllerAnswer {
    data class Ok(val body: Buffer) : ControllerAnswer

    /** The document is not valid, for each of [problems]. */
    data class Invalid(val problems: List<String>) : ControllerAnswer

    /** Another operator's change came first. */
    data class Contention(val reason: String) : ControllerAnswer

    data class Unavailable(val reason: String) : ControllerAnswer
}

/** Calls a controller's operators' port. */
internal class ControllerClient(private val address: HostPort) {
    fun get(path: String): ControllerAnswer = send(HttpCall("GET", path))

    fun post(path: String, body: ByteArray, headers: Map<String, String>): ControllerAnswer =
        send(HttpCall("POST", path, headers, body))

    private fun send(call: HttpCall): ControllerAnswer = runBlocking {
        val vertx = Vertx.vertx()
        try {
            val http = PlatformHttp(vertx, address.host, address.port, TIMEOUT_MILLIS)
            answerOf(http.send(call))
        } finally {
            vertx.close().coAwait()
        }
    }

    private fun answerOf(outcome: HttpOutcome): ControllerAnswer = when (outcome) {
        is HttpOutcome.NotSent -> ControllerAnswer.Unavailable("$address: ${outcome.reason}")
        is HttpOutcome.NoAnswer ->
            ControllerAnswer.Unavailable("$address: ${outcome.reason}; look before you repeat it")
        is HttpOutcome.Answer -> when (outcome.status) {
            OK -> ControllerAnswer.Ok(outcome.body)
            CONFLICT -> ControllerAnswer.Contention(errorOf(outcome))
            UNPROCESSABLE -> ControllerAnswer.Invalid(problemsOf(outcome))
            else -> ControllerAnswer.Unavailable("status ${outcome.status} ${errorOf(outcome)}")
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
