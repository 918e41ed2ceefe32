package cactusfold.node.process

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.jvm.optionals.getOrNull

/**
 * Identity of an operating-system process: VM, kernel boot, PID namespace, PID and start time.
 *
 * Looking up a PID shows that a process has ended only if that process ran on the same VM, in the
 * same boot and PID namespace. A running PID with a different start time is another process. (The
 * rule is that of the liveness paper, bugs 1, 5 and 6; see docs/DESIGN.md.)
 *
 * @property bootId the kernel's boot ID and the PID namespace, or empty if they can't be read; then
 *   no process can be compared with this one.
 */
public data class ProcessIdentity(
    public val vm: String,
    public val bootId: String,
    public val processId: Long,
    public val startEpochMillis: Long
) {
    /**
     * Returns whether [other] has certainly ended. False also if this process can't tell, for
     * instance because [other] ran on another VM.
     */
    public fun confirmsExitOf(other: ProcessIdentity): Boolean {
        val comparable = bootId.isNotEmpty() && other.vm == vm && other.bootId == bootId
        if (!comparable) return false
        val running = startOf(other.processId) ?: return true
        return running != other.startEpochMillis
    }

    public companion object {
        private val BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id")
        private val PID_NAMESPACE = Path.of("/proc/self/ns/pid")

        /** Returns the identity of this process on [vm]. */
        public fun current(vm: String): ProcessIdentity {
            val pid = ProcessHandle.current().pid()
            return ProcessIdentity(vm, bootIdAndPidNamespace(), pid, startOf(pid) ?: 0)
        }

        private fun bootIdAndPidNamespace(): String = try {
            val boot = Files.readString(BOOT_ID).trim()
            val namespace = Files.readSymbolicLink(PID_NAMESPACE)
            "$boot/$namespace"
        } catch (_: IOException) {
            ""
        }

        private fun startOf(pid: Long): Long? {
            val handle = ProcessHandle.of(pid).getOrNull() ?: return null
            if (!handle.isAlive || isZombie(pid)) return null
            return handle.info().startInstant().getOrNull()?.toEpochMilli() ?: 0
        }

        private fun isZombie(pid: Long): Boolean = try {
            Files.readString(Path.of("/proc/$pid/stat")).substringAfterLast(") ").startsWith("Z")
        } catch (_: IOException) {
            false
        }
    }
}
