package cactusfold.training

import java.nio.file.Files
import java.nio.file.Path
import java.util.jar.JarFile
import java.util.zip.ZipEntry
import java.util.zip.ZipOutputStream
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir

class MergedJarTest {
    @TempDir
    private lateinit var directory: Path

    private fun jar(name: String, vararg entries: Pair<String, String>) =
        ZipOutputStream(Files.newOutputStream(directory.resolve(name))).use { jar ->
            for ((entry, text) in entries) {
                jar.putNextEntry(ZipEntry(entry))
                jar.write(text.toByteArray())
            }
        }

    // Guards against a library that does not find its implementation in the merged jar.
    @Test
    fun `services of all jars are kept, and of other entries the first`() {
        jar("a.jar", "META-INF/services/S" to "a.One", "x" to "first", "module-info.class" to "")
        jar("b.jar", "META-INF/services/S" to "b.Two", "x" to "second", "p/C.class" to "c")
        val merged = directory.resolve("merged")
        MergedJar(directory).write(merged)
        JarFile(merged.toFile()).use { jar ->
            fun lines(name: String) =
                jar.getInputStream(jar.getEntry(name)).bufferedReader().readLines()
            assertEquals(listOf("a.One", "b.Two"), lines("META-INF/services/S"))
            assertEquals(listOf("first"), lines("x"))
            assertEquals(listOf("c"), lines("p/C.class"))
            assertEquals(null, jar.getEntry("module-info.class"))
            assertTrue(jar.isMultiRelease)
        }
    }
}
