package cactusfold.ports.runner

import cactusfold.decisions.placement.Inventory
import cactusfold.decisions.placement.InventoryModel
import cactusfold.decisions.placement.ModelPhase
import cactusfold.decisions.placement.Order
import cactusfold.decisions.placement.OrderKind
import cactusfold.ports.http.HttpCall
import cactusfold.ports.http.HttpOutcome
import cactusfold.ports.http.PlatformHttp
import io.vertx.core.json.JsonObject
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet

/** The result of sending an order. */
public enum class OrderOutcome {
    /** The runner accepted the order; its inventory shows the progress. */
    TAKEN,

    /** The runner refused the order, which had no effect. */
    REFUSED,

    /** No definite response arrived; the order may have taken effect or may still do so. */
    UNKNOWN
}

/** Sends orders to a runner and reads its inventory. */
public interface RunnerControl {
    /** Returns the runner's inventory, or null if it does not respond. Passes our [fence] to it. */
    public suspend fun inventory(fence: Long, nowMillis: Long): Inventory?

    /**
     * Sends [order]. It is idempotent: another order with the same id has no further effect.
     *
     * @param isLeaseStillHeld evaluated after connecting and right before writing. If the lease
     *   holder is paused after that, the order reaches only the incarnation of the runner that it
     *   connected to, or none.
     */
    public suspend fun send(order: Order, isLeaseStillHeld: () -> Boolean): OrderOutcome
}

/**
 * Calls `GET /admin/inventory`, `POST /admin/load` and `POST /admin/unload` with JSON over HTTP.
 */
public class HttpRunnerControl(private val http: PlatformHttp) : RunnerControl {
    override suspend fun inventory(fence: Long, nowMillis: Long): Inventory? {
        val outcome = http.send(HttpCall("GET", "/admin/inventory?fence=$fence"))
        val answer = outcome as? HttpOutcome.Answer ?: return null
        val body = answer.json()?.takeIf { answer.status == OK } ?: return null
        return Inventory(
            readAtMillis = nowMillis,
            bootId = body.getString("boot_id"),
            models = body.getJsonArray("models").map { modelOf(it as JsonObject) }
                .associateBy { it.name }.toPersistentMap(),
            onDisk = body.getJsonArray("on_disk").map { it as String }.toPersistentSet(),
            running = body.getInteger("running"),
            waiting = body.getInteger("waiting"),
            fence = body.getLong("fence", 0)
        )
    }

    override suspend fun send(order: Order, isLeaseStillHeld: () -> Boolean): OrderOutcome {
        val path = when (order.kind) {
            OrderKind.LOAD -> "/admin/load"
            OrderKind.UNLOAD -> "/admin/unload"
        }
        val body = JsonObject()
            .put("order_id", order.id)
            .put("model", order.model)
            .put("memory_bytes", order.memoryBytes)
            .put("fence", order.fence)
        return when (
            val outcome = http.send(
                HttpCall("POST", path, body = body.toBuffer().bytes)
            )
        ) {
            is HttpOutcome.Answer -> when (outcome.status) {
                in SUCCESS -> OrderOutcome.TAKEN
                in CLIENT_ERRORS -> OrderOutcome.REFUSED
                else -> OrderOutcome.UNKNOWN
            }
            is HttpOutcome.NotSent -> OrderOutcome.UNKNOWN
            is HttpOutcome.NoAnswer -> OrderOutcome.UNKNOWN
        }
    }

    private fun modelOf(model: JsonObject): InventoryModel {
        val phase = when (model.getString("phase")) {
            "ready" -> ModelPhase.READY
            "unloading" -> ModelPhase.UNLOADING
            else -> ModelPhase.LOADING
        }
        return InventoryModel(model.getString("name"), phase)
    }

    private companion object {
        const val OK = 200
        val SUCCESS = 200..299
        val CLIENT_ERRORS = 400..499
    }
}
