package cactusfold.cli.logs

/** A line with its place on the time line of all processes, in milliseconds since the epoch. */
public class PlacedLine(public val atMillis: Long, public val line: LogLine)

/**
 * The lines of several processes in one order.
 *
 * A VM's lines are placed by its steady clock, and that by the median of what the time of day showed
 * beside it, so that a jump of the time of day moves no line. VMs whose time of day is wrong all along
 * stay apart by that much.
 *
 * @property jumpsMillisByVm the largest distance between the two clocks, for VMs whose time of day jumped.
 */
public class MergedLog private constructor(
    public val lines: List<PlacedLine>,
    public val jumpsMillisByVm: Map<String, Long>
) {
    public companion object {
        /** A smaller distance between the clocks comes from how long writing a line takes. */
        private const val JUMP_MILLIS = 500L
        private const val PROCESS_START = "process-start"

        /** Merges [lines], each VM's in the order in which they were written. */
        public fun of(lines: List<LogLine>): MergedLog {
            val jumps = mutableMapOf<String, Long>()
            val placed = lines.groupBy { it.vm }.flatMap { (vm, own) ->
                boots(own).flatMap { boot ->
                    val offset = median(boot.map { it.epochMillis - it.steadyMillis })
                    val jump =
                        boot.maxOf { Math.abs(it.epochMillis - it.steadyMillis - offset) }
                    if (jump >= JUMP_MILLIS) jumps.merge(vm, jump, ::maxOf)
                    boot.map { PlacedLine(it.steadyMillis + offset, it) }
                }
            }
            return MergedLog(placed.sortedBy { it.atMillis }, jumps)
        }

        /**
         * A VM's steady clock begins anew when it boots, or when another VM takes its name: at the
         * start of a process, that is, with a step against the time of day, or backwards.
         */
        private fun boots(lines: List<LogLine>): List<List<LogLine>> {
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
            val hasStepped = line.event == PROCESS_START && Math.abs(stepMillis) >= JUMP_MILLIS
            return steadyMillis < -JUMP_MILLIS || hasStepped
        }

        private fun median(values: List<Long>): Long = values.sorted()[values.size / 2]
    }
}
