package cactusfold.entry.fleet

/** Numbers this process's reports, and remembers when the latest ones were sent. */
public class SentReports {
    private val sentAtMillis = LinkedHashMap<Long, Long>()
    private var last = 0L

    /** Returns the number of a report that is sent at [nowMillis] or later. */
    public fun next(nowMillis: Long): Long {
        last++
        sentAtMillis[last] = nowMillis
        if (sentAtMillis.size > MAX_REMEMBERED) sentAtMillis.remove(sentAtMillis.keys.first())
        return last
    }

    /** Returns a time no later than the sending of report [sequence]; null if it is not known. */
    public fun sentAtMillis(sequence: Long): Long? = sentAtMillis[sequence]

    private companion object {
        /** A process sends at most some tens of reports a second; older answers are of no use. */
        const val MAX_REMEMBERED = 128
    }
}
