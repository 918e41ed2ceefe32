package cactusfold.decisions.config

import cactusfold.seeds.Seeds
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.collections.immutable.persistentMapOf

class ConfigLogTest {
    private fun entry(version: Long): ConfigEntry {
        val section = "class c$version" to persistentMapOf("target_millis" to "$version")
        val patch = ConfigPatch(persistentMapOf(section), setOf("class c${version - 1}"))
        return ConfigEntry(version, "op$version", "a", 0, patch, "")
    }

    @Test
    fun `entries in any order, repeated or outdated, give one document and no lower version`() =
        Seeds.each { random ->
            val entries = (1L..30L).map(::entry)
            var state = ConfigLogState()
            var version = 0L
            while (state.version < 30) {
                state = ConfigLog.offer(state, List(3) { entries.random(random) }).state
                assertTrue(state.version >= version)
                version = state.version
            }
            assertEquals(setOf("class c30"), state.document.sections.keys)
        }

    @Test
    fun `a gap is fetched and later entries are not applied`() {
        val step = ConfigLog.offer(ConfigLogState(), listOf(entry(2)))
        assertEquals(0, step.state.version)
        assertEquals(listOf<ConfigLogEffect>(ConfigLogEffect.Fetch(0)), step.effects)
    }

    @Test
    fun `applying the patch between two documents gives the second one`() {
        val from = ConfigDocument(persistentMapOf("a" to persistentMapOf("k" to "1")))
        val to = ConfigDocument(persistentMapOf("b" to persistentMapOf("k" to "2")))
        assertEquals(to, from.apply(from.patchTo(to)))
    }
}
