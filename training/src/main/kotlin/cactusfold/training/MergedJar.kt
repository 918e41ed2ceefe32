package cactusfold.training

import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.nio.file.Files
import java.nio.file.Path
import java.util.jar.Attributes
import java.util.jar.JarFile
import java.util.jar.JarOutputStream
import java.util.jar.Manifest
import java.util.zip.ZipEntry
import kotlin.io.path.listDirectoryEntries

/**
 * Merges the jars of a directory into one. Lists of services are joined; of other entries with the
 * same name, the one of the first jar is kept, as by a class path in the order of their names.
 *
 * The list of Log4j's plugins is replaced by one that names only the console appender. Log4j loads
 * each class that is listed, and an entry process configures it without plugins; with an empty list
 * it would search its packages.
 */
internal class MergedJar(private val directory: Path) {
    private val services = sortedMapOf<String, ByteArrayOutputStream>()
    private val names = mutableSetOf<String>()

    fun write(target: Path) {
        val manifest = Manifest()
        manifest.mainAttributes[Attributes.Name.MANIFEST_VERSION] = "1.0"
        manifest.mainAttributes[Attributes.Name.MULTI_RELEASE] = "true"
        JarOutputStream(Files.newOutputStream(target), manifest).use { merged ->
            directory.listDirectoryEntries("*.jar").sorted().forEach { add(it, merged) }
            services.forEach { (name, lines) -> add(name, lines.toByteArray(), merged) }
        }
    }

    private fun add(source: Path, merged: JarOutputStream) = JarFile(source.toFile()).use { jar ->
        for (entry in jar.entries().asSequence().filter(::isNeeded)) {
            val bytes = if (entry.name == PLUGINS) {
                pluginList()
            } else {
                jar.getInputStream(entry).use { it.readBytes() }
            }
            if (entry.name.startsWith(SERVICES)) {
                val lines = services.getOrPut(entry.name) { ByteArrayOutputStream() }
                lines.write(bytes)
                lines.write('\n'.code)
            } else if (names.add(entry.name)) {
                add(entry.name, bytes, merged)
            }
        }
    }

    private fun add(name: String, bytes: ByteArray, merged: JarOutputStream) {
        // Equal classes give equal jars, whenever they were built.
        merged.putNextEntry(ZipEntry(name).apply { time = 0 })
        merged.write(bytes)
        merged.closeEntry()
    }

    private fun pluginList(): ByteArray {
        val bytes = ByteArrayOutputStream()
        val output = DataOutputStream(bytes)
        output.writeInt(1)
        output.writeUTF("core")
        output.writeInt(1)
        listOf("console", CONSOLE, "Console").forEach(output::writeUTF)
        output.writeBoolean(true)
        output.writeBoolean(false)
        return bytes.toByteArray()
    }

    private fun isNeeded(entry: ZipEntry): Boolean = !entry.isDirectory &&
        entry.name != JarFile.MANIFEST_NAME &&
        !entry.name.startsWith("META-INF/maven/") &&
        UNUSED_ENDINGS.none { entry.name.endsWith(it) }

    private companion object {
        const val SERVICES = "META-INF/services/"
        const val PLUGINS =
            "META-INF/org/apache/logging/log4j/core/config/plugins/Log4j2Plugins.dat"
        const val CONSOLE = "org.apache.logging.log4j.core.appender.ConsoleAppender"

        /** Of modules and for compilers, which the class path does not use. */
        val UNUSED_ENDINGS = listOf(
            "module-info.class",
            ".kotlin_module",
            ".kotlin_metadata",
            ".kotlin_builtins",
            ".proto"
        )
    }
}

/** Entry point of the step of the build that merges the jars of one directory into a file. */
public fun main(args: Array<String>) {
    MergedJar(Path.of(args[0])).write(Path.of(args[1]))
}
