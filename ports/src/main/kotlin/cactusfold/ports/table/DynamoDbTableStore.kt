package cactusfold.ports.table

import cactusfold.ports.http.HttpCall
import cactusfold.ports.http.HttpOutcome
import cactusfold.ports.http.PlatformHttp
import com.google.protobuf.ByteString
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import java.util.Base64

/**
 * A [TableStore] over the JSON protocol of Amazon DynamoDB (API version 2012-08-10): `GetItem`,
 * `Query` and `TransactWriteItems` with consistent reads.
 *
 * An item has the string keys `pk` and `sk`, the number `v` (version) and the binary `d` (value).
 */
public class DynamoDbTableStore(private val http: PlatformHttp, private val table: String) :
    TableStore {

    override suspend fun get(key: RowKey): ReadResult<Row?> {
        val body = JsonObject()
            .put("TableName", table)
            .put("ConsistentRead", true)
            .put("Key", keyOf(key))
        return when (val outcome = call("GetItem", body)) {
            is HttpOutcome.Answer -> readResultOf(outcome) {
                it.getJsonObject("Item")?.let(::rowOf)
            }
            is HttpOutcome.NotSent -> ReadResult.Unavailable(outcome.reason)
            is HttpOutcome.NoAnswer -> ReadResult.Unavailable(outcome.reason)
        }
    }

    override suspend fun list(partition: String, after: String, limit: Int): ReadResult<List<Row>> {
        val values = JsonObject()
            .put(":p", JsonObject().put("S", partition))
            .put(":a", JsonObject().put("S", after))
        val condition = if (after.isEmpty()) "pk = :p" else "pk = :p AND sk > :a"
        if (after.isEmpty()) values.remove(":a")
        val body = JsonObject()
            .put("TableName", table)
            .put("ConsistentRead", true)
            .put("Limit", limit)
            .put("KeyConditionExpression", condition)
            .put("ExpressionAttributeValues", values)
        return when (val outcome = call("Query", body)) {
            is HttpOutcome.Answer -> readResultOf(outcome) { answer ->
                answer.getJsonArray("Items").map { rowOf(it as JsonObject) }
            }
            is HttpOutcome.NotSent -> ReadResult.Unavailable(outcome.reason)
            is HttpOutcome.NoAnswer -> ReadResult.Unavailable(outcome.reason)
        }
    }

    override suspend fun write(writes: List<RowWrite>): WriteResult {
        val items = JsonArray(writes.map(::itemOf))
        return when (
            val outcome = call(
                "TransactWriteItems",
                JsonObject().put("TransactItems", items)
            )
        ) {
            is HttpOutcome.Answer -> writeResultOf(outcome)
            is HttpOutcome.NotSent -> WriteResult.NotWritten(outcome.reason)
            is HttpOutcome.NoAnswer -> WriteResult.Unknown(outcome.reason)
        }
    }

    private fun writeResultOf(answer: HttpOutcome.Answer): WriteResult {
        if (answer.status == OK) return WriteResult.Written()
        val body = answer.json()
        val type = body?.getString("__type").orEmpty().substringAfterLast('#')
        return when {
            type == "TransactionCanceledException" -> cancellationResultOf(body!!)
            type in NOT_EXECUTED_ERRORS -> WriteResult.NotWritten(type)
            else -> WriteResult.Unknown("status ${answer.status} $type")
        }
    }

    private fun cancellationResultOf(body: JsonObject): WriteResult {
        val reasons = body.getJsonArray("CancellationReasons") ?: JsonArray()
        val codes = reasons.map { (it as JsonObject).getString("Code") }
        val failed = codes.indexOf("ConditionalCheckFailed")
        return if (failed >= 0) {
            WriteResult.Conflict(failed)
        } else {
            WriteResult.NotWritten(codes.joinToString())
        }
    }

    private suspend fun call(operation: String, body: JsonObject): HttpOutcome = http.send(
        HttpCall(
            method = "POST",
            path = "/",
            headers = mapOf(
                "X-Amz-Target" to "DynamoDB_20120810.$operation",
                "Content-Type" to "application/x-amz-json-1.0"
            ),
            body = body.toBuffer().bytes
        )
    )

    private fun <A> readResultOf(
        answer: HttpOutcome.Answer,
        map: (JsonObject) -> A
    ): ReadResult<A> {
        val body = answer.json()
        if (answer.status != OK || body == null) {
            return ReadResult.Unavailable("status ${answer.status}")
        }
        return ReadResult.Found(map(body))
    }

    private fun keyOf(key: RowKey): JsonObject = JsonObject()
        .put("pk", JsonObject().put("S", key.partition))
        .put("sk", JsonObject().put("S", key.sort))

    private fun rowOf(item: JsonObject): Row {
        val key = RowKey(
            item.getJsonObject("pk").getString("S"),
            item.getJsonObject("sk").getString("S")
        )
        val value = Base64.getDecoder().decode(item.getJsonObject("d").getString("B"))
        val version = item.getJsonObject("v").getString("N").toLong()
        return Row(key, version, ByteString.copyFrom(value))
    }

    private fun itemOf(write: RowWrite): JsonObject = when (write) {
        is RowWrite.Insert -> put(write.key, 1, write.value, "attribute_not_exists(pk)", null)
        is RowWrite.Replace -> {
            val next = write.expectedVersion + 1
            put(write.key, next, write.value, VERSION_CONDITION, write.expectedVersion)
        }
        is RowWrite.Delete -> JsonObject().put(
            "Delete",
            conditionedKey(write.key, write.expectedVersion)
        )
        is RowWrite.Check ->
            JsonObject().put("ConditionCheck", conditionedKey(write.key, write.expectedVersion))
    }

    private fun put(
        key: RowKey,
        version: Long,
        value: ByteString,
        condition: String,
        expectedVersion: Long?
    ): JsonObject {
        val encoded = Base64.getEncoder().encodeToString(value.toByteArray())
        val item = keyOf(key)
            .put("v", JsonObject().put("N", version.toString()))
            .put("d", JsonObject().put("B", encoded))
        val put = JsonObject()
            .put("TableName", table)
            .put("Item", item)
            .put("ConditionExpression", condition)
        expectedVersion?.let { put.put("ExpressionAttributeValues", expectedVersionValue(it)) }
        return JsonObject().put("Put", put)
    }

    private fun conditionedKey(key: RowKey, expectedVersion: Long): JsonObject = JsonObject()
        .put("TableName", table)
        .put("Key", keyOf(key))
        .put("ConditionExpression", VERSION_CONDITION)
        .put("ExpressionAttributeValues", expectedVersionValue(expectedVersion))

    private fun expectedVersionValue(version: Long): JsonObject =
        JsonObject().put(":v", JsonObject().put("N", version.toString()))

    private companion object {
        const val OK = 200
        const val VERSION_CONDITION = "v = :v"
        val NOT_EXECUTED_ERRORS = setOf(
            "ThrottlingException",
            "ProvisionedThroughputExceededException",
            "RequestLimitExceeded",
            "ValidationException",
            "ResourceNotFoundException"
        )
    }
}
