package cactusfold.node.process

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.jvm.optionals.getOrNull

/**
 * Identity of an operating-system process: kernel boot, pid namespace, pid and start time.
 *
 * Only a process of the same VM, boot and pid namespace can be judged gone by looking for it; a pid
 * that runs again with another start time is another process. (The rule is that of the liveness
 * paper, bugs 1, 5 and 6; see docs/DESIGN.md.)
 */
public data class ProcessIdentity(
    public val vm: String,
    public val bootId: String,
    public val processId: Long,
    public val startEpochMillis: Long
) {
    /** Whether [other] is surely gone. False when that can't be told from here. */
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
