package cactusfold.standins.platform

import cactusfold.standins.StandinServer
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.atomic.AtomicLong

/**
 * In-memory fake of the table service: `GetItem`, `Query` and `TransactWriteItems` of DynamoDB's
 * JSON protocol. Supports only the two condition expressions that the store client sends.
 */
public class TableStandin(vertx: Vertx, port: Int) {
    /** Injected faults, adjustable at run time. */
    public val faults: FaultInjector = FaultInjector()

    /** Number of `GetItem` and `Query` calls so far. */
    public val reads: AtomicLong = AtomicLong()

    /** Number of items in transactions so far, including those of failed transactions. */
    public val writes: AtomicLong = AtomicLong()

    /** Total size of request and response bodies so far. */
    public val bytes: AtomicLong = AtomicLong()

    private val rows = TableRows()
    private val server = StandinServer(vertx, port, ::handle)

    /** The bound port, or the configured one before [start]. */
    public val port: Int get() = server.actualPort

    /** Starts listening. */
    public suspend fun start() {
        server.start()
    }

    /** Stops listening. */
    public suspend fun stop() {
        server.stop()
    }

    private suspend fun handle(request: HttpServerRequest) {
        val operation = request.getHeader("X-Amz-Target").orEmpty().substringAfter('.')
        val buffer = request.body().coAwait()
        if (faults.isDown) {
            request.connection().close()
            return
        }
        faults.delayResponse()
        if (!faults.tryAcquire()) {
            answer(request, BAD_REQUEST, JsonObject().put("__type", "x#ThrottlingException"))
            return
        }
        bytes.addAndGet(buffer.length().toLong())
        val body = buffer.toJsonObject()
        when (operation) {
            "GetItem" -> answer(request, OK, getItem(body))
            "Query" -> answer(request, OK, query(body))
            "TransactWriteItems" -> transact(request, body)
            else -> answer(
                request,
                BAD_REQUEST,
                JsonObject().put("__type", "x#ValidationException")
            )
        }
    }

    private fun getItem(body: JsonObject): JsonObject {
        reads.incrementAndGet()
        val item = rows.get(body.getJsonObject("Key")) ?: return JsonObject()
        return JsonObject().put("Item", item)
    }

    private fun query(body: JsonObject): JsonObject {
        reads.incrementAndGet()
        val values = body.getJsonObject("ExpressionAttributeValues")
        val partition = values.getJsonObject(":p").getString("S")
        val after = values.getJsonObject(":a")?.getString("S").orEmpty()
        val items = rows.query(partition, after, body.getInteger("Limit"))
        return JsonObject().put("Items", JsonArray(items)).put("Count", items.size)
    }

    private suspend fun transact(request: HttpServerRequest, body: JsonObject) {
        val items = body.getJsonArray("TransactItems").map { it as JsonObject }
        val failed = rows.transact(items)
        writes.addAndGet(items.size.toLong())
        if (faults.shouldDropResponse()) {
            request.connection().close()
            return
        }
        if (failed == null) {
            answer(request, OK, JsonObject())
            return
        }
        val reasons = items.indices.map {
            JsonObject().put("Code", if (it == failed) "ConditionalCheckFailed" else "None")
        }
        val cancelled = JsonObject()
            .put("__type", "x#TransactionCanceledException")
            .put("CancellationReasons", JsonArray(reasons))
        answer(request, BAD_REQUEST, cancelled)
    }

    private suspend fun answer(request: HttpServerRequest, status: Int, body: JsonObject) {
        val buffer = body.toBuffer()
        bytes.addAndGet(buffer.length().toLong())
        request.response()
            .setStatusCode(status)
            .putHeader("content-type", "application/x-amz-json-1.0")
            .end(buffer)
            .coAwait()
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
    }
}
