package cactusfold.standins.platform

import io.vertx.core.json.JsonObject
import java.util.concurrent.ConcurrentSkipListMap

/** The outcome of one transaction: the index of the write whose condition failed, or null. */
internal class TableRows {
    private val rows = ConcurrentSkipListMap<String, JsonObject>()

    fun get(key: JsonObject): JsonObject? = rows[place(key)]

    fun query(partition: String, after: String, limit: Int): List<JsonObject> = rows
        .subMap("$partition$SEPARATOR$after", after.isEmpty(), "$partition$SEPARATOR\uffff", true)
        .values.take(limit)

    @Synchronized
    fun transact(items: List<JsonObject>): Int? {
        val failed = items.indexOfFirst { !holds(it) }
        if (failed >= 0) return failed
        items.forEach(::carryOut)
        return null
    }

    private fun holds(item: JsonObject): Boolean {
        val (_, write) = parts(item)
        val key = write.getJsonObject("Item") ?: write.getJsonObject("Key")
        val present = rows[place(key)]
        return when (val condition = write.getString("ConditionExpression")) {
            "attribute_not_exists(pk)" -> present == null
            "v = :v" -> present?.getJsonObject("v")?.getString("N") == expected(write)
            else -> error("condition $condition is not supported")
        }
    }

    private fun carryOut(item: JsonObject) {
        val (kind, write) = parts(item)
        when (kind) {
            "Put" -> write.getJsonObject("Item").let { rows[place(it)] = it }
            "Delete" -> rows.remove(place(write.getJsonObject("Key")))
            "ConditionCheck" -> Unit
            else -> error("write $kind is not supported")
        }
    }

    private fun parts(item: JsonObject): Pair<String, JsonObject> {
        val kind = item.fieldNames().single()
        return kind to item.getJsonObject(kind)
    }

    private fun expected(write: JsonObject): String =
        write.getJsonObject("ExpressionAttributeValues").getJsonObject(":v").getString("N")

    private fun place(key: JsonObject): String =
        key.getJsonObject("pk").getString("S") + SEPARATOR + key.getJsonObject("sk").getString("S")

    private companion object {
        const val SEPARATOR = "\u0000"
    }
}
