package cactusfold.entry.fleet

import cactusfold.decisions.holding.AnnouncedRenewal
import cactusfold.entry.process.EventLog
import cactusfold.node.peer.PeerClients
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.TokenGrant
import cactusfold.protocol.TokenRequest
import cactusfold.protocol.entry.CoordinatorGrpcKt.CoordinatorCoroutineStub
import cactusfold.protocol.entry.FleetNotice
import cactusfold.protocol.entry.MemberReport
import io.grpc.StatusException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** This process's contact with the coordinator, which may be this process itself. */
public class MemberLink(
    private val hold: HoldKeeper,
    private val peers: PeerClients,
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val collect: () -> MemberReport,
    private val onNotice: (FleetNotice) -> Unit
) {
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private var heardAtMillis = Long.MIN_VALUE / 2

    /** The coordinator in this process; it is reported to without a call. */
    public var own: FleetCoordinator? = null

    /** Members of the fleet by the coordinator's last word; null before it was heard from. */
    public var memberCount: Int? = null
        private set

    /** Whether the coordinator was heard from lately. */
    public val isLinked: Boolean
        get() = hold.isCoordinator || clock.nowMillis() - heardAtMillis < SILENCE_MILLIS

    /** Reports soon: something waits. */
    public fun wake() {
        wake.trySend(Unit)
    }

    /** Keeps in contact until cancelled. */
    public suspend fun run() {
        while (true) {
            val target = hold.coordinator
            when {
                hold.isCoordinator -> reportToSelf()
                target == null -> delay(RETRY_MILLIS)
                else -> attach(target)
            }
        }
    }

    /** Asks the coordinator for tokens; null when it does not answer or is none. */
    public suspend fun ask(request: TokenRequest): TokenGrant? {
        if (hold.isCoordinator) return own?.grant(request)
        val target = hold.coordinator ?: return null
        if (!isLinked) return null
        return withTimeoutOrNull(ASK_MILLIS) {
            try {
                CoordinatorCoroutineStub(peers.channel(target.address)).takeTokens(request)
            } catch (e: StatusException) {
                events.write(
                    "tokens-not-asked",
                    "coordinator" to target.vm,
                    "reason" to e.status.toString()
                )
                null
            }
        }
    }

    private suspend fun reportToSelf() {
        own?.let {
            it.report(collect())
            memberCount = it.memberCount
        }
        withTimeoutOrNull(REPORT_MILLIS) { wake.receive() }
    }

    private suspend fun attach(target: CoordinatorAddress) {
        try {
            coroutineScope {
                val stub = CoordinatorCoroutineStub(peers.channel(target.address))
                heardAtMillis = clock.nowMillis() - SILENCE_MILLIS + CONNECT_MILLIS
                val reading = launch { stub.attach(reports()).collect(::noticed) }
                while (reading.isActive && isLinked && !hold.isCoordinator) delay(CHECK_MILLIS)
                reading.cancel()
            }
        } catch (e: StatusException) {
            events.write(
                "coordinator-lost",
                "coordinator" to target.vm,
                "reason" to e.status.toString()
            )
        }
        heardAtMillis = Long.MIN_VALUE / 2
        delay(RETRY_MILLIS)
    }

    private fun reports() = flow {
        while (true) {
            emit(collect())
            withTimeoutOrNull(REPORT_MILLIS) { wake.receive() }
            delay(COALESCE_MILLIS)
        }
    }

    private fun noticed(notice: FleetNotice) {
        if (notice.isReleased) {
            hold.promised(notice.fence)
            heardAtMillis = Long.MIN_VALUE / 2
            return
        }
        heardAtMillis = clock.nowMillis()
        if (notice.leaseVersion > 0) {
            val confirmedAtMillis = heardAtMillis - notice.leaseAgeMillis
            hold.heard(AnnouncedRenewal(notice.leaseVersion, confirmedAtMillis))
        }
        memberCount = notice.memberCount.takeIf { it > 0 }
        onNotice(notice)
    }

    private companion object {
        /** Longest pause between two reports. */
        const val REPORT_MILLIS = 400L
        const val COALESCE_MILLIS = 10L
        const val CHECK_MILLIS = 100L

        /** A coordinator that was silent for so long, three notices, counts as lost. */
        const val SILENCE_MILLIS = 1_300L
        const val CONNECT_MILLIS = 600L
        const val RETRY_MILLIS = 150L
        const val ASK_MILLIS = 300L
    }
}
