package cactusfold.entry.fleet

import cactusfold.decisions.holding.AnnouncedRenewal
import cactusfold.entry.process.EventLog
import cactusfold.entry.rate.FleetPlace
import cactusfold.node.peer.PeerClients
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.TokenGrant
import cactusfold.protocol.TokenRequest
import cactusfold.protocol.entry.Ability
import cactusfold.protocol.entry.CoordinatorGrpcKt.CoordinatorCoroutineStub
import cactusfold.protocol.entry.FleetNotice
import cactusfold.protocol.entry.MemberReport
import cactusfold.protocol.entry.SendGrant
import cactusfold.protocol.entry.SendRequest
import cactusfold.protocol.entry.StreamAnswer
import cactusfold.protocol.entry.StreamRequest
import io.grpc.StatusException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Client of the coordinator, which may run in this process. */
public class CoordinatorClient(
    private val vm: String,
    private val lease: CoordinatorLeaseManager,
    private val peers: PeerClients,
    private val clock: MonotonicClock,
    private val events: EventLog,
    private val buildReport: () -> MemberReport.Builder,
    private val onAttach: () -> Unit,
    private val onNotice: (notice: FleetNotice, reportedAtMillis: Long?) -> Unit,
    private val onConfigConfirmed: (version: Long, atMillis: Long) -> Unit,
    private val meters: FleetMeters
) {
    private val leaseChanged = Channel<Unit>(Channel.CONFLATED)
    private val sentReports = SentReports()
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val patience = ReconnectPatience()
    private var lastNoticeAtMillis = Long.MIN_VALUE / 2

    /** The coordinator in this process, called directly instead of over the network. */
    public var localCoordinator: FleetCoordinator? = null

    /** Number of members in the coordinator's last notice; null if not known. */
    public var memberCount: Int? = null
        private set

    /** This process's place among the members, as far as it is known. */
    public val place: FleetPlace get() = FleetPlace(memberCount, position)

    private var position: Int? = null
    private var announcedAbilities = emptySet<Ability>()

    /** Abilities that all members have, as decided by the coordinator; none without contact. */
    public val fleetAbilities: Set<Ability>
        get() = when {
            lease.isCoordinator -> localCoordinator?.fleetAbilities.orEmpty()
            isConnected -> announcedAbilities
            else -> emptySet()
        }

    /** Records the number of members as of this process's [registration]. */
    public fun registered(registration: Registration) {
        memberCount = memberCount ?: registration.memberCount
    }

    /** Whether the last notice is recent enough, or this process is the coordinator itself. */
    public val isConnected: Boolean get() = connectedUntilMillis > clock.nowMillis()

    /** Until when the coordinator counts as connected without another notice. */
    public val connectedUntilMillis: Long
        get() = if (lease.isCoordinator) {
            Long.MAX_VALUE
        } else {
            lastNoticeAtMillis + NOTICE_TIMEOUT_MILLIS
        }

    /** Sends the next report without waiting for the report interval. */
    public fun wake() {
        wake.trySend(Unit)
    }

    /** Has the connection moved to the coordinator that the lease names now. */
    public fun leaseChanged() {
        leaseChanged.trySend(Unit)
        wake()
    }

    /** Sends reports and receives notices, reconnecting as needed, until cancelled. */
    public suspend fun run() {
        while (true) {
            val target = lease.coordinator
            when {
                lease.isCoordinator -> reportToSelf()
                target == null -> leaseChanged.receive()
                else -> attach(target)
            }
        }
    }

    /** Requests tokens; returns null if there is no coordinator or it does not answer. */
    public suspend fun requestTokens(request: TokenRequest): TokenGrant? {
        if (lease.isCoordinator) return localCoordinator?.grant(request)
        val target = lease.coordinator ?: return null
        // A coordinator that is late with notices still grants tokens.
        if (!isConnected && patience.isExhausted(clock.nowMillis())) return null
        return ask(target, TOKEN_REQUEST_TIMEOUT_MILLIS) { it.takeTokens(request) }
    }

    /** Requests a send; returns null if there is no coordinator or it does not answer soon. */
    public suspend fun requestSend(request: SendRequest): SendGrant? {
        if (lease.isCoordinator) return localCoordinator?.grant(request)
        val target = lease.coordinator ?: return null
        if (!isConnected) return null
        return ask(target, SEND_REQUEST_TIMEOUT_MILLIS) { it.takeSend(request) }
    }

    /** Asks where a stream began; null if there is no coordinator or it does not answer soon. */
    public suspend fun findStream(request: StreamRequest): StreamAnswer? {
        if (lease.isCoordinator) return localCoordinator?.find(request)
        val target = lease.coordinator ?: return null
        if (!isConnected) return null
        return ask(target, STREAM_REQUEST_TIMEOUT_MILLIS) { it.findStream(request) }
    }

    private suspend fun <A> ask(
        target: CoordinatorAddress,
        timeoutMillis: Long,
        call: suspend (CoordinatorCoroutineStub) -> A
    ): A? = withTimeoutOrNull(timeoutMillis) {
        try {
            call(CoordinatorCoroutineStub(peers.channel(target.address)))
        } catch (e: StatusException) {
            events.write(
                "tokens-not-asked",
                "coordinator" to target.vm,
                "reason" to e.status.toString()
            )
            null
        }
    }

    private suspend fun reportToSelf() {
        localCoordinator?.let {
            it.report(buildReport().build())
            memberCount = it.memberCount
            position = it.positionOf(vm)
        }
        withTimeoutOrNull(REPORT_INTERVAL_MILLIS) { wake.receive() }
    }

    private suspend fun attach(target: CoordinatorAddress) {
        try {
            coroutineScope {
                val stub = CoordinatorCoroutineStub(peers.channel(target.address))
                lastNoticeAtMillis =
                    clock.nowMillis() - NOTICE_TIMEOUT_MILLIS + CONNECT_TIMEOUT_MILLIS
                patience.started(clock.nowMillis())
                val reading = launch { stub.attach(reports()).collect(::handleNotice) }
                reading.invokeOnCompletion { leaseChanged.trySend(Unit) }
                while (reading.isActive && isWorthKeeping(target)) {
                    val leftMillis = patience.exhaustedAtMillis - clock.nowMillis()
                    withTimeoutOrNull(leftMillis) { leaseChanged.receive() }
                }
                reading.cancel()
            }
        } catch (e: StatusException) {
            events.write(
                "coordinator-lost",
                "coordinator" to target.vm,
                "reason" to e.status.toString()
            )
        }
        loseContact()
        delay(RETRY_DELAY_MILLIS)
    }

    /** A new connection costs the coordinator more than a slow one, so it is not given up soon. */
    private fun isWorthKeeping(target: CoordinatorAddress): Boolean = !lease.isCoordinator &&
        lease.coordinator?.address == target.address &&
        !patience.isExhausted(clock.nowMillis())

    private fun loseContact() {
        lastNoticeAtMillis = Long.MIN_VALUE / 2
        lease.contactLost()
    }

    private fun reports() = flow {
        onAttach()
        var isUrgent = true
        while (true) {
            emit(nextReport().also { meters.reportSent(it, isUrgent) })
            isUrgent = withTimeoutOrNull(REPORT_INTERVAL_MILLIS) { wake.receive() } != null
            // Reports that are due anyway are not put off: they prove how recent notices are.
            if (isUrgent) delay(CoordinatorPace.reportMillis(memberCount))
            wake.tryReceive()
        }
    }

    private fun nextReport(): MemberReport =
        buildReport().setSequence(sentReports.next(clock.nowMillis())).build()

    /**
     * The notice was made after the report that it names was sent, and nothing is assumed about how
     * long either of them took. Thus the version was the newest at the sending of that report, less
     * the age of the coordinator's own confirmation.
     */
    private fun confirmConfig(notice: FleetNotice) {
        if (!notice.hasConfig()) return
        val sentAtMillis = sentReports.sentAtMillis(notice.reportSequence) ?: return
        onConfigConfirmed(notice.config.version, sentAtMillis - notice.config.ageMillis)
    }

    private fun handleNotice(notice: FleetNotice) {
        if (notice.isReleased) {
            lease.recordRelease(notice.fence)
            loseContact()
            return
        }
        lastNoticeAtMillis = clock.nowMillis()
        patience.heard(lastNoticeAtMillis)
        if (notice.leaseVersion > 0) {
            val confirmedAtMillis = lastNoticeAtMillis - notice.leaseAgeMillis
            lease.recordRenewal(
                AnnouncedRenewal(notice.leaseVersion, confirmedAtMillis, notice.leaseEra)
            )
        }
        memberCount = notice.memberCount.takeIf { it > 0 }
        position = notice.memberPosition.takeIf { notice.hasMemberPosition() }
        announcedAbilities = Abilities.known(notice.fleetAbilitiesList)
        confirmConfig(notice)
        onNotice(notice, sentReports.sentAtMillis(notice.reportSequence))
    }

    private companion object {
        /** Maximum interval between two reports. */
        const val REPORT_INTERVAL_MILLIS = 400L

        /** Silence after which the coordinator counts as lost: three notice intervals. */
        const val NOTICE_TIMEOUT_MILLIS = 1_300L
        const val CONNECT_TIMEOUT_MILLIS = 600L
        const val RETRY_DELAY_MILLIS = 150L
        const val TOKEN_REQUEST_TIMEOUT_MILLIS = 700L

        /** A request can move on to another upstream, so it does not wait as long. */
        const val SEND_REQUEST_TIMEOUT_MILLIS = 300L

        /** The store can be asked instead. */
        const val STREAM_REQUEST_TIMEOUT_MILLIS = 300L
    }
}
