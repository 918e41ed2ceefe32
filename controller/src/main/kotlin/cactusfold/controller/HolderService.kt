package cactusfold.controller

import cactusfold.controller.cell.CellManager
import cactusfold.controller.cell.Placement
import cactusfold.controller.rate.BucketManager
import cactusfold.decisions.placement.CellEvent
import cactusfold.decisions.placement.RouterDemand
import cactusfold.decisions.placement.RunnerState
import cactusfold.decisions.rate.GrantRequest
import cactusfold.decisions.rate.GrantResponse
import cactusfold.decisions.rate.TokenGrantSettings
import cactusfold.node.time.MonotonicClock
import cactusfold.protocol.HolderGrpcKt.HolderCoroutineImplBase
import cactusfold.protocol.ModelDemand
import cactusfold.protocol.ModelPlacement
import cactusfold.protocol.Replica
import cactusfold.protocol.TokenGrant
import cactusfold.protocol.TokenRequest
import kotlinx.coroutines.Dispatchers

/**
 * The gRPC service for routers: placements of models and grants of tokens, for the shards that this
 * process holds.
 */
public class HolderService(
    private val cellFor: (String) -> CellManager?,
    private val buckets: BucketManager,
    private val tokenGrants: TokenGrantSettings,
    private val clock: MonotonicClock
) : HolderCoroutineImplBase(Dispatchers.Default) {

    override suspend fun watchModel(request: ModelDemand): ModelPlacement {
        val cell = cellFor(request.model) ?: return NOT_HOLDER
        val waitMillis = request.waitMillis.coerceIn(0, MAX_WAIT_MILLIS)
        val placement = cell.watch(demandOf(request), request.knownVersion, waitMillis)
        return messageOf(placement)
    }

    override suspend fun requestTokens(request: TokenRequest): TokenGrant {
        val answer = buckets.handleRequest(request.workspace, grantRequestOf(request))
        val grant = TokenGrant.newBuilder()
            .setValidMillis(tokenGrants.grantValidMillis)
            .setContactMillis(tokenGrants.contactMillis)
        return when (answer) {
            null -> grant.setOutcome(TokenGrant.Outcome.NOT_HOLDER)
            is GrantResponse.Granted -> grant.setOutcome(TokenGrant.Outcome.GRANTED)
                .setGrantedTokens(answer.tokens)
            is GrantResponse.Wait -> grant.setOutcome(TokenGrant.Outcome.WAIT)
                .setRetryAfterMillis(answer.retryAfterMillis)
        }.build()
    }

    private fun demandOf(request: ModelDemand): CellEvent.Demanded {
        val now = clock.nowMillis()
        val remainingMillis = request.earliestDeadlineMillis
        val demand = RouterDemand(
            request.waiting,
            request.running,
            if (remainingMillis > 0) now + remainingMillis else null,
            request.targetMillis,
            now
        )
        return CellEvent.Demanded(request.model, request.router, demand, request.arrivals)
    }

    private fun messageOf(placement: Placement): ModelPlacement {
        val outcome = if (placement.hasNoCapacity && placement.replicas.isEmpty()) {
            ModelPlacement.Outcome.NO_CAPACITY
        } else {
            ModelPlacement.Outcome.PLACED
        }
        return ModelPlacement.newBuilder()
            .setOutcome(outcome)
            .setVersion(placement.version)
            .addAllReplicas(placement.replicas.map(::replicaOf))
            .build()
    }

    private fun replicaOf(runner: RunnerState): Replica = Replica.newBuilder()
        .setUpstream(runner.spec.name)
        .setHost(runner.spec.host)
        .setPort(runner.spec.port)
        .setZone(runner.spec.zone)
        .setSlots(runner.spec.slots)
        .setReportedRunning(runner.inventory?.running ?: 0)
        .setReportedWaiting(runner.inventory?.waiting ?: 0)
        .build()

    private fun grantRequestOf(request: TokenRequest): GrantRequest = GrantRequest(
        request.router,
        request.routerIncarnation,
        request.sequence,
        request.neededTokens,
        request.prefetchTokens,
        request.spentTokens,
        request.returnedTokens
    )

    private companion object {
        const val MAX_WAIT_MILLIS = 10_000L
        val NOT_HOLDER: ModelPlacement = ModelPlacement.newBuilder()
            .setOutcome(ModelPlacement.Outcome.NOT_HOLDER)
            .build()
    }
}
