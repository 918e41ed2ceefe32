package cactusfold.entry.soak

import cactusfold.platform.standin.AnswerShape
import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import io.vertx.core.http.HttpServerRequest
import kotlin.random.Random

/** What a caller sends, and how it reads the answer. */
class CallPlan(
    val kind: String,
    private val route: String,
    val model: String? = null,
    val shape: AnswerShape = AnswerShape(),
    val timeoutMillis: Long = ROUTE_TIMEOUT_MILLIS,
    private val bodyPauseMillis: Long = 0,
    private val lateMillis: Long = 0,
    private val readPauseMillis: Long = 0
) {
    /** Sends the request and returns its id. */
    fun send(connection: CallerConnection): String {
        val shapeQuery = "delay=${shape.delayMillis}&events=${shape.events}" +
            "&pause=${shape.eventDelayMillis}&bytes=${shape.bytes ?: PLAIN_BYTES}"
        return connection.send("$route?$shapeQuery", model, timeoutMillis, bodyPauseMillis)
    }

    /** Waits for the answer. */
    fun receive(connection: CallerConnection): CallEnd =
        connection.receive(lateMillis, readPauseMillis)

    /** Whether [body] is all that an upstream answers. */
    fun isComplete(body: String): Boolean = if (model == null) {
        body.length == (shape.bytes ?: PLAIN_BYTES)
    } else {
        body == (1..shape.events).joinToString("") { "id: $it\ndata: piece $it\n\n" }
    }

    override fun toString(): String = "$kind $route model=$model $shape " +
        "timeoutMillis=$timeoutMillis bodyPauseMillis=$bodyPauseMillis lateMillis=$lateMillis " +
        "readPauseMillis=$readPauseMillis"

    companion object {
        /** The routes' time limit in [cactusfold.platform.standin.OperatorStandin]. */
        const val ROUTE_TIMEOUT_MILLIS: Long = 4_000
        private const val PLAIN_BYTES = 20

        /** Returns the shape that [send] asks for. */
        fun shapeOf(request: HttpServerRequest): AnswerShape {
            fun number(name: String): Int? = request.getParam(name)?.toInt()
            return AnswerShape(
                delayMillis = number("delay")?.toLong() ?: 0,
                events = number("events") ?: 1,
                eventDelayMillis = number("pause")?.toLong() ?: 0,
                bytes = number("bytes")
            )
        }

        /** Draws a request of a random kind. */
        fun draw(random: Random): CallPlan {
            val plain = listOf("/look/x", "/book/x").random(random)
            val stream = listOf("/draft/x", "/once/x").random(random)
            val delayMillis = random.nextLong(0, 1_501)
            return when (random.nextInt(100)) {
                in 0 until 40 -> CallPlan("plain", plain, shape = AnswerShape(delayMillis))
                in 40 until 46 ->
                    CallPlan(
                        "short-limit",
                        plain,
                        shape = AnswerShape(delayMillis),
                        timeoutMillis = 1_000
                    )
                in 46 until 54 -> large(random, plain)
                in 54 until 68 ->
                    CallPlan(
                        "halves",
                        plain,
                        shape = AnswerShape(delayMillis / 2),
                        bodyPauseMillis = random.nextLong(1, 600)
                    )
                in 68 until 90 -> CallPlan("stream", stream, "warm", events(random, 41))
                else -> {
                    val model = listOf("cold", "other").random(random)
                    CallPlan("loading", stream, model, events(random, 11))
                }
            }
        }

        private fun large(random: Random, route: String) = CallPlan(
            "large",
            route,
            shape = AnswerShape(random.nextLong(0, 500), bytes = random.nextInt(1, 4) * 1_000_000),
            lateMillis = if (random.nextBoolean()) random.nextLong(0, 800) else 0,
            readPauseMillis = random.nextLong(0, 4)
        )

        private fun events(random: Random, until: Int) = AnswerShape(
            events = random.nextInt(2, until),
            eventDelayMillis = random.nextLong(0, 101)
        )
    }
}
