package cactusfold.entry.soak

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import javax.tools.ToolProvider
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

/** The programs of the independent review, run on the classes of this build. */
class ReviewCaseTest {
    private val root = generateSequence(Path.of("").toAbsolutePath()) { it.parent }
        .first { Files.isDirectory(it.resolve("review")) }
    private val classes = Path.of("target", "review-classes").toAbsolutePath()

    private fun sources(folder: String): List<String> =
        Files.list(root.resolve("review").resolve(folder)).use { files ->
            files.map(Path::toString).filter { it.endsWith(".java") }.toList()
        }

    private fun compile(vararg folders: String) {
        Files.createDirectories(classes)
        val arguments = listOf("-d", "$classes") + folders.flatMap(::sources)
        val code = ToolProvider.getSystemJavaCompiler()
            .run(null, null, null, *arguments.toTypedArray())
        assertEquals(0, code, "the review does not compile")
    }

    /** Runs the case of [program], whose record and output lie in a folder under `target/`. */
    private fun run(program: String) {
        val folder = Path.of("target", "review-$program").toAbsolutePath()
        Files.createDirectories(folder)
        val output = folder.resolve("output.txt")
        val process = ProcessBuilder(
            "${Path.of(System.getProperty("java.home"), "bin", "java")}",
            "-Dreview.classpath=${System.getProperty("java.class.path")}",
            "-cp",
            "$classes",
            program,
            "$folder"
        ).directory(root.toFile()).redirectErrorStream(true).redirectOutput(output.toFile())
        process.environment()["TROUBLE"] = "1"
        val running = process.start()
        try {
            assertTrue(running.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS), "not ended in time")
        } finally {
            running.destroy()
        }
        val record = folder.resolve("record.txt")
        assertEquals(0, running.exitValue(), Files.readString(output) + Files.readString(record))
    }

    // Guards against cases that cannot run any more, such as for a setting that the template asks
    // for and the stand-in of the review lacks, and against the fault of this case.
    @Test
    fun `an incomplete entry of another writer is not used as a runner`() {
        compile("standin", "3")
        run("ForeignEntry")
    }

    private companion object {
        const val LIMIT_SECONDS = 118L
    }
}
