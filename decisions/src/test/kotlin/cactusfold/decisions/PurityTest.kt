package cactusfold.decisions

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readLines
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PurityTest {
    private val forbidden = listOf(
        "io.vertx",
        "io.grpc",
        "io.netty",
        "org.apache.logging",
        "java.time",
        "java.net",
        "java.nio",
        "java.io",
        "java.util.concurrent",
        "kotlin.random",
        "kotlinx.coroutines",
        "java.lang.System"
    )
    private val sources = Path.of("src/main/kotlin")

    @Test
    fun `decisions import no input, output, clock, thread, logger or random source`() {
        val files = Files.walk(sources).use { walk ->
            walk.filter { it.extension == "kt" }.toList()
        }
        assertTrue(files.size > 10, "source files not found in $sources")
        val violations = files.flatMap { file ->
            file.readLines()
                .filter { line ->
                    forbidden.any { line.startsWith("import $it") } ||
                        "System." in line
                }
                .map { "$file: $it" }
        }
        assertEquals(emptyList(), violations)
    }
}
