package cactusfold.entry.fleet

import cactusfold.entry.upstream.Upstream
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.entry.FleetNotice
import cactusfold.protocol.entry.Forecast
import cactusfold.protocol.entry.HeldModel
import cactusfold.protocol.entry.Holdings
import cactusfold.protocol.entry.MemberReport

/**
 * The members that are connected to the coordinator, and the news for them. Urgent news wakes the
 * members that it concerns; other news is sent with their next heartbeat.
 */
internal class MemberSessions(private val clock: MonotonicClock) {
    private val sessions = mutableSetOf<MemberSession>()
    private val recentForecasts = LinkedHashMap<String, PendingForecast>()

    /** News that is the same for all members. */
    val news = SharedNews()

    /** The connections. */
    val all: Collection<MemberSession> get() = sessions

    /** Number of connections. */
    val size: Int get() = sessions.size

    /** Adds [session]. */
    fun join(session: MemberSession) {
        sessions += session
    }

    /** Removes [session]; returns whether its member has no other one. */
    fun leave(session: MemberSession): Boolean {
        sessions -= session
        return sessions.none { it.vm == session.vm }
    }

    /** Forgets all news, for a new term of the coordinator. */
    fun clear() {
        news.clear()
        recentForecasts.clear()
    }

    /** Sends all members a notice at once. */
    fun wakeAll(): Unit = sessions.forEach { it.wake() }

    /** Adds news to each session, which is sent at once. */
    fun announce(add: (MemberSession) -> Unit) {
        for (session in sessions) {
            add(session)
            session.wake()
        }
    }

    /** Adds urgent news to the session of each member but [vm], which is the source of it. */
    fun forward(vm: String, isUrgent: Boolean, add: (MemberSession) -> Unit) {
        for (session in sessions) {
            if (session.vm == vm) continue
            add(session)
            if (isUrgent) session.wake()
        }
    }

    /**
     * Records that [upstream] has other models loaded. Members whose requests wait for one of them
     * learn of it at once.
     */
    fun announceHoldings(upstream: Upstream) {
        val holdings = Holdings.newBuilder().setRunner(upstream.entry.id)
        upstream.adaptersByModel.forEach { (model, adapters) ->
            holdings.addModels(HeldModel.newBuilder().setModel(model).addAllAdapters(adapters))
        }
        val notice = FleetNotice.newBuilder().addHoldings(holdings).build()
        news.put(
            SharedRows.holdingsKey(upstream.entry.id),
            notice,
            upstream.adaptersByModel.keys
        )
        wakeConcerned()
    }

    /** Notifies the members that wait for a model about which there is news. */
    fun wakeConcerned(): Unit =
        sessions.filter { news.concerns(it.waits, it.newsPosition) }.forEach { it.wake() }

    /**
     * Sends [forecasts] to the members whose requests wait for these models, at once if they have
     * changed. Else they only concern requests that have begun to wait since.
     */
    fun announceForecasts(forecasts: List<Forecast>) {
        val nowMillis = clock.nowMillis()
        recentForecasts.values.removeIf { nowMillis - it.madeAtMillis > FORECAST_KEPT_MILLIS }
        for (forecast in forecasts) {
            val key = forecast.key
            val pending = PendingForecast(forecast, nowMillis)
            // A refusal is for those that wait now, not for later ones.
            val before = if (forecast.isRefused) {
                recentForecasts.remove(key)
            } else {
                recentForecasts.put(key, pending)
            }
            val isRepeated = before != null && !forecast.isRefused && pending.isLike(before)
            for (session in sessions) {
                if (forecast.model !in session.waits) continue
                session.forecasts[key] = pending
                if (!isRepeated) session.wake()
            }
        }
    }

    /** Records the [report] of the member of [session]. */
    fun reported(session: MemberSession, report: MemberReport) {
        val begun = session.reported(report)
        if (news.concerns(session.waits, session.newsPosition)) session.wake()
        if (begun.isEmpty()) return
        val nowMillis = clock.nowMillis()
        for ((key, recent) in recentForecasts) {
            if (recent.forecast.model !in begun) continue
            if (nowMillis - recent.madeAtMillis > FORECAST_KEPT_MILLIS) continue
            session.forecasts[key] = recent
            session.wake()
        }
    }

    private val Forecast.key: String get() = "$model@$softwareVersion"

    private companion object {
        /** Twice the interval at which a forecast is made again while requests wait. */
        const val FORECAST_KEPT_MILLIS = 1_000L
    }
}
