package cactusfold.entry.soak

import cactusfold.platform.standin.RunnerStandin
import io.vertx.core.json.DecodeException
import io.vertx.core.json.JsonObject

/** Checks the replies that processes recorded for their orders to [runners]. */
class OrderRules(private val runners: Map<String, RunnerStandin>) {
    val violations = mutableListOf<Violation>()

    /** No order counts as accepted, or as having no effect, unless its runner said so. */
    fun check(entry: EntryJvm) = entry.output().filter { "\"event\":\"order\"" in it }.forEach {
        val line = try {
            JsonObject("{" + it.substringAfter("{"))
        } catch (_: DecodeException) {
            // A line that is torn breaks Rule.CLEAN_OUTPUT.
            return@forEach
        }
        val status = TAKEN[line.getString("reply")] ?: return@forEach
        val expected = line.getString("expected").toLong()
        val answers = runners.getValue(line.getString("upstream")).answeredOrders
            .filter { order -> order.precondition == expected }
        val isTrue = answers.any { order ->
            order.status == status && "model=${order.model}" in line.getString("order")
        }
        if (!isTrue) violations += Violation(Rule.TRUE_ORDER, "not accepted", "$it; $answers")
    }

    private companion object {
        /** The replies after which an order is not sent again, and the statuses that they stand for. */
        val TAKEN = mapOf("Accepted" to 202, "AlreadySo" to 200)
    }
}
