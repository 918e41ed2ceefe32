package cactusfold.cli.logs

/** Log line with its time on the common timeline, in milliseconds since the epoch. */
public class PlacedLine(public val atMillis: Long, public val line: LogLine)

/**
 * Log lines of several processes in order of time.
 *
 * Lines of a VM are placed by its monotonic clock plus the median offset between wall clock and
 * monotonic clock, so that a jump of the wall clock moves no line. A constant error of a VM's wall
 * clock is not corrected.
 *
 * @property clockJumpMillisByVm largest deviation of the wall clock from the monotonic clock, for
 *     VMs whose wall clock jumped.
 */
public class MergedLog private constructor(
    public val lines: List<PlacedLine>,
    public val clockJumpMillisByVm: Map<String, Long>
) {
    public companion object {
        /** Smaller deviations between the clocks are due to the time that writing a line takes. */
        private const val MIN_JUMP_MILLIS = 500L
        private const val PROCESS_START = "process-start"

        /** Merges [lines]; lines of one VM must be in the order in which they were written. */
        public fun of(lines: List<LogLine>): MergedLog {
            val jumps = mutableMapOf<String, Long>()
            val placed = lines.groupBy { it.vm }.flatMap { (vm, own) ->
                splitByBoot(own).flatMap { boot ->
                    val offset = median(boot.map { it.epochMillis - it.steadyMillis })
                    val jump =
                        boot.maxOf { Math.abs(it.epochMillis - it.steadyMillis - offset) }
                    if (jump >= MIN_JUMP_MILLIS) jumps.merge(vm, jump, ::maxOf)
                    boot.map { PlacedLine(it.steadyMillis + offset, it) }
                }
            }
            return MergedLog(placed.sortedBy { it.atMillis }, jumps)
        }

        /**
         * Splits a VM's lines where its monotonic clock restarted, because the VM rebooted or
         * another VM took its name: where that clock runs backwards, or where a process starts and
         * the clock has stepped relative to the wall clock.
         */
        private fun splitByBoot(lines: List<LogLine>): List<List<LogLine>> {
            val boots = mutableListOf(mutableListOf<LogLine>())
            for (line in lines) {
                val last = boots.last().lastOrNull()
                if (last != null && isNewBoot(last, line)) boots += mutableListOf<LogLine>()
                boots.last() += line
            }
            return boots.filter { it.isNotEmpty() }
        }

        private fun isNewBoot(before: LogLine, line: LogLine): Boolean {
            val steadyMillis = line.steadyMillis - before.steadyMillis
            val stepMillis = steadyMillis - (line.epochMillis - before.epochMillis)
            val hasStepped = line.event == PROCESS_START && Math.abs(stepMillis) >= MIN_JUMP_MILLIS
            return steadyMillis < -MIN_JUMP_MILLIS || hasStepped
        }

        private fun median(values: List<Long>): Long = values.sorted()[values.size / 2]
    }
}
