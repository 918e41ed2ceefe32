package cactusfold.entry.soak

import cactusfold.entry.path.FreePorts
import cactusfold.platform.standin.CallerStandin
import java.io.File
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** An entry process in a JVM of its own, with its settings and its output under `target/`. */
class EntryJvm(name: String, val vm: String, storePort: Int, stopMillis: Long) : AutoCloseable {
    /** The port for callers. */
    val callersPort: Int = FreePorts.next()
    private val readyPort = FreePorts.next()
    private val innerPort = FreePorts.nextRange(INNER_PORTS)
    private val log = DIRECTORY.resolve("$name-$vm.log")
    private val process: Process

    /** When the process was gone, by `System.nanoTime()`; null before that. */
    @Volatile
    var exitedAtNanos: Long? = null
        private set

    init {
        Files.createDirectories(DIRECTORY)
        val settings = DIRECTORY.resolve("$name-$vm.ini")
        Files.writeString(settings, settings(storePort, stopMillis))
        val command = listOf(Path.of(System.getProperty("java.home"), "bin", "java").toString()) +
            JVM_OPTIONS + listOf("-cp", CLASS_PATH) +
            listOf("cactusfold.entry.EntryMainKt", "--config", settings.toString())
        process = ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(log.toFile()).start()
        process.onExit().thenRun { exitedAtNanos = System.nanoTime() }
    }

    private fun settings(storePort: Int, stopMillis: Long): String = """
        [vm]
        name = $vm
        address = 127.0.0.1
        zone = z1
        first-inner-port = $innerPort
        last-inner-port = ${innerPort + INNER_PORTS - 1}
        [listen]
        callers = 127.0.0.1:$callersPort
        ready = 127.0.0.1:$readyPort
        [store]
        address = 127.0.0.1:$storePort
        [bounds]
        stop-seconds = ${stopMillis / MILLIS_PER_SECOND}
        order-quiet-millis = 300
        [log]
        lines-per-second = 10000
    """.trimIndent()

    val isAlive: Boolean get() = process.isAlive

    /** The exit code of a process that is gone. */
    val exitCode: Int get() = process.exitValue()

    /** The lines of output so far. */
    fun output(): List<String> = Files.readAllLines(log)

    /** Waits until the process is ready and answers a request. */
    fun awaitServing() {
        val until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS)
        while (!isServing()) {
            check(isAlive && System.nanoTime() < until) { "$vm does not serve: ${output()}" }
            Thread.sleep(CHECK_MILLIS)
        }
    }

    private fun isServing(): Boolean = try {
        val caller = CallerStandin(callersPort)
        caller.readyStatus(readyPort) == OK && caller.call("/look/x").statusCode() == OK
    } catch (_: IOException) {
        // Nothing listens yet.
        false
    }

    /** Sends SIGTERM; may be called again. */
    fun terminate(): Unit = process.destroy()

    /** Sends SIGHUP. */
    fun hangup(): Unit = signal("HUP")

    /** Has the process stand still until [resume]. */
    fun pause(): Unit = signal("STOP")

    /** Ends a [pause]. */
    fun resume(): Unit = signal("CONT")

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", "${process.pid()}").inheritIO().start().waitFor()
    }

    /** Whether the process is gone within [timeoutMillis]. */
    fun awaitExit(timeoutMillis: Long): Boolean =
        process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)

    override fun close() {
        process.destroyForcibly().waitFor()
    }

    private companion object {
        val DIRECTORY: Path = Path.of("target", "soak")
        val JVM_OPTIONS = listOf(
            "--add-modules",
            "jdk.incubator.foreign",
            "--enable-native-access=ALL-UNNAMED",
            "-Xmx36m",
            "-Xmn8m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Dio.netty.maxDirectMemory=16777216",
            "-Dio.netty.allocator.numDirectArenas=1",
            "-Dio.netty.allocator.numHeapArenas=0"
        )

        /** As deployed: with data binding, JSON is read by another parser. */
        val CLASS_PATH: String = System.getProperty("java.class.path")
            .split(File.pathSeparator).filterNot { "jackson-databind" in it }
            .joinToString(File.pathSeparator)
        const val INNER_PORTS = 3
        const val MILLIS_PER_SECOND = 1_000.0
        const val START_MILLIS = 20_000L
        const val CHECK_MILLIS = 50L
        const val OK = 200
    }
}
