package cactusfold.standins.platform

import io.vertx.core.json.JsonObject
import java.util.concurrent.ConcurrentSkipListMap

/** In-memory rows of a table, sorted by partition and sort key. */
internal class TableRows {
    private val rows = ConcurrentSkipListMap<String, JsonObject>()

    fun get(key: JsonObject): JsonObject? = rows[storageKey(key)]

    fun query(partition: String, after: String, limit: Int): List<JsonObject> = rows
        .subMap("$partition$SEPARATOR$after", after.isEmpty(), "$partition$SEPARATOR\uffff", true)
        .values.take(limit)

    /** Applies all writes or none. Returns the index of the first failed condition, or null. */
    @Synchronized
    fun transact(items: List<JsonObject>): Int? {
        val failed = items.indexOfFirst { !isConditionMet(it) }
        if (failed >= 0) return failed
        items.forEach(::applyWrite)
        return null
    }

    private fun isConditionMet(item: JsonObject): Boolean {
        val (_, write) = kindAndBody(item)
        val key = write.getJsonObject("Item") ?: write.getJsonObject("Key")
        val present = rows[storageKey(key)]
        return when (val condition = write.getString("ConditionExpression")) {
            "attribute_not_exists(pk)" -> present == null
            "v = :v" -> present?.getJsonObject("v")?.getString("N") == expectedVersion(write)
            else -> error("unsupported ConditionExpression: $condition")
        }
    }

    private fun applyWrite(item: JsonObject) {
        val (kind, write) = kindAndBody(item)
        when (kind) {
            "Put" -> write.getJsonObject("Item").let { rows[storageKey(it)] = it }
            "Delete" -> rows.remove(storageKey(write.getJsonObject("Key")))
            "ConditionCheck" -> Unit
            else -> error("unsupported transaction item: $kind")
        }
    }

    private fun kindAndBody(item: JsonObject): Pair<String, JsonObject> {
        val kind = item.fieldNames().single()
        return kind to item.getJsonObject(kind)
    }

    private fun expectedVersion(write: JsonObject): String =
        write.getJsonObject("ExpressionAttributeValues").getJsonObject(":v").getString("N")

    private fun storageKey(key: JsonObject): String =
        key.getJsonObject("pk").getString("S") + SEPARATOR + key.getJsonObject("sk").getString("S")

    private companion object {
        const val SEPARATOR = "\u0000"
    }
}
