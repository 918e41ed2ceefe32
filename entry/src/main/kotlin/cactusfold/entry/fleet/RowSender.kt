package cactusfold.entry.fleet

import cactusfold.entry.process.EventLog
import cactusfold.entry.upstream.RegisteredRow
import cactusfold.entry.upstream.UpstreamDirectory
import cactusfold.entry.upstream.UpstreamRowListener
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.entry.FleetNotice
import cactusfold.protocol.entry.RowsConfirmation

/**
 * Passes the rows of upstreams that the coordinator reads on to its members. It begins with the
 * first read of the coordinator's term, and sends all rows again when the store's versions count
 * anew.
 */
internal class RowSender(
    private val directory: UpstreamDirectory,
    private val sessions: MemberSessions,
    private val clock: MonotonicClock,
    private val events: EventLog
) : UpstreamRowListener {
    private val rows = SharedRows(sessions.news)
    private var termBeganAtMillis: Long? = null
    private var era: Long? = null

    /** Begins a term of the coordinator. */
    fun start() {
        stop()
        termBeganAtMillis = clock.nowMillis()
    }

    /** Ends the term. */
    fun stop() {
        termBeganAtMillis = null
        sessions.clear()
        rows.clear()
    }

    /** Adds the read that the rows are from to [notice], if it contains shared news. */
    fun addRowsRead(notice: FleetNotice.Builder) {
        if (!notice.hasNewsPosition()) return
        val last = directory.lastRead ?: return
        notice.setRowsRead(
            RowsConfirmation.newBuilder()
                .setAgeMillis(clock.nowMillis() - last.beganAtMillis)
                .setPosition(last.read.position)
                .setEra(last.read.era)
                .setIsIncomplete(!directory.isComplete)
        )
    }

    override fun registered(row: RegisteredRow) {
        if (!sessions.news.isComplete) return
        when (rows.registered(row)) {
            NewsUrgency.NONE -> {}
            NewsUrgency.CONCERNED -> sessions.wakeConcerned()
            NewsUrgency.ALL -> sessions.wakeAll()
        }
    }

    override fun ended(upstream: String) {
        if (!sessions.news.isComplete) return
        val version = directory.lastRead?.read?.position ?: return
        rows.ended(upstream, version, clock.nowMillis())
        sessions.wakeAll()
    }

    override fun readCompleted() {
        val last = directory.lastRead ?: return
        val beganAtMillis = termBeganAtMillis ?: return
        val isOfThisTerm = sessions.news.isComplete && era == last.read.era
        if (isOfThisTerm || last.beganAtMillis < beganAtMillis) return
        era = last.read.era
        rows.clear()
        directory.registeredRows.forEach { rows.registered(it) }
        sessions.news.complete()
        sessions.wakeAll()
        events.write("rows-shared", "era" to era, "position" to last.read.position)
    }
}
