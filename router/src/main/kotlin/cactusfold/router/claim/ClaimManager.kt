package cactusfold.router.claim

import cactusfold.decisions.claim.ClaimEffect
import cactusfold.decisions.claim.ClaimEnd
import cactusfold.decisions.claim.ClaimEvent
import cactusfold.decisions.claim.ClaimMachine
import cactusfold.decisions.claim.ClaimState
import cactusfold.decisions.claim.ExistingClaim
import cactusfold.decisions.invariant
import cactusfold.decisions.store.StorePurpose
import cactusfold.node.events.NodeEvent
import cactusfold.node.launch.NodeCore
import cactusfold.node.peer.PeerResult
import cactusfold.node.rows.Rows
import cactusfold.ports.objects.ObjectResult
import cactusfold.ports.table.ReadResult
import cactusfold.ports.table.Row
import cactusfold.ports.table.RowKey
import cactusfold.ports.table.RowWrite
import cactusfold.ports.table.TableStore
import cactusfold.ports.table.WriteResult
import cactusfold.protocol.ClaimQuery
import cactusfold.protocol.ClaimReply
import cactusfold.protocol.StoredAnswer
import cactusfold.protocol.StoredClaim
import cactusfold.router.callers.CallerRequest
import cactusfold.router.callers.Refusal
import cactusfold.router.callers.RunState
import cactusfold.router.forward.BufferedResponse
import cactusfold.router.forward.DispatchResult
import cactusfold.router.forward.ResponseHead
import cactusfold.settings.schema.HostPort
import com.google.protobuf.ByteString
import io.vertx.core.buffer.Buffer
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/**
 * Runs each non-repeatable request at most once across all routers.
 *
 * A request is dispatched only after its idempotency claim, a row keyed by workspace and
 * idempotency key, has been written. A request that finds an existing claim joins it, or takes it
 * over if that is safe. [ClaimMachine] decides; this class performs its effects.
 */
public class ClaimManager(private val core: NodeCore) {
    private val table: TableStore = core.table(StorePurpose.CLAIM)
    private val activeCount = AtomicInteger()
    private val localClaims = ConcurrentHashMap<String, LocalClaim>()

    /** A claim owned by this router. [end] is what the owner reports to routers that join it. */
    private class LocalClaim(val operationId: String) {
        val end = CompletableDeferred<ClaimReply>()

        @Volatile
        var isDispatched = false
    }

    /** Number of claimed requests that have not finished. */
    public val active: Int get() = activeCount.get()

    /**
     * Claims [request], then runs [dispatch] or returns the result of the request that holds the
     * claim. Continues after the caller disconnects, so that the caller's retry finds the answer.
     */
    public suspend fun run(
        request: CallerRequest,
        dispatch: suspend () -> DispatchResult
    ): DispatchResult {
        activeCount.incrementAndGet()
        return core.scope.async {
            try {
                ClaimRun(request, dispatch).execute()
            } finally {
                activeCount.decrementAndGet()
            }
        }.await()
    }

    /** Returns the status of a claim owned by this router, waiting for its end as [query] asks. */
    public suspend fun status(query: ClaimQuery): ClaimReply {
        val claim = localClaims[query.operationId]
            ?: return ClaimReply.newBuilder().setState(ClaimReply.State.UNKNOWN).build()
        val end = withTimeoutOrNull(query.waitMillis) { claim.end.await() }
        return end ?: ClaimReply.newBuilder().setState(ClaimReply.State.RUNNING).build()
    }

    private inner class ClaimRun(
        private val request: CallerRequest,
        private val dispatch: suspend () -> DispatchResult
    ) {
        private val operationId = UUID.randomUUID().toString()
        private val idempotencyKey = request.raw.headers["idempotency-key"] ?: request.fingerprint
        private val rowKey: RowKey = Rows.claim(request.workspaceName, idempotencyKey)
        private val claim = LocalClaim(operationId)
        private var state: ClaimState = ClaimState.New
        private var existing: StoredClaim? = null
        private var rowVersion = 1L
        private var finalResult: DispatchResult? = null

        suspend fun execute(): DispatchResult {
            localClaims[operationId] = claim
            var event: ClaimEvent? = ClaimEvent.Begin
            while (event != null) {
                val step = ClaimMachine.step(state, event)
                state = step.state
                event = null
                for (effect in step.effects) event = perform(effect) ?: event
            }
            completeLocalClaim()
            return finalResult ?: DispatchResult.Refused(Refusal.CLAIM_UNAVAILABLE)
        }

        private suspend fun perform(effect: ClaimEffect): ClaimEvent? {
            recordEvent(effect)
            return when (effect) {
                ClaimEffect.Insert -> insert()
                ClaimEffect.ReadBack -> readBack()
                ClaimEffect.Dispatch -> dispatchOnce()
                ClaimEffect.StoreAnswer -> null.also { storeResult(false) }
                ClaimEffect.StoreDoubt -> null.also { storeResult(true) }
                ClaimEffect.Free -> null.also { releaseClaim() }
                is ClaimEffect.Join -> null.also { finalResult = join() }
                is ClaimEffect.Refuse -> null.also {
                    finalResult =
                        finalResult ?: refusal(effect.end)
                }
            }
        }

        private suspend fun insert(): ClaimEvent {
            val insert = RowWrite.Insert(rowKey, runningRow().toByteString())
            while (true) {
                val result = table.write(listOf(insert))
                if (result !is WriteResult.NotWritten || !shouldRetry()) return eventOf(result)
                delay(RETRY_MILLIS)
            }
        }

        /** Whether to retry a failed write: only while the store is up and time remains. */
        private fun shouldRetry(): Boolean = core.guardedTable.isUp &&
            core.clock.nowMillis() + RETRY_MILLIS < request.deadlineMillis

        private suspend fun eventOf(result: WriteResult): ClaimEvent = when (result) {
            is WriteResult.Written -> ClaimEvent.Inserted
            is WriteResult.Conflict -> onConflict()
            is WriteResult.NotWritten -> ClaimEvent.StoreDown.also { logUnavailable(result.reason) }
            is WriteResult.Unknown -> ClaimEvent.Unknown
        }

        private fun logUnavailable(reason: String) {
            log.warn("claim of request {} is unavailable: {}", request.raw.id, reason)
        }

        /**
         * Takes over a claim that is past its duplicate window, or that its owner never dispatched;
         * joins any other claim.
         */
        private suspend fun onConflict(): ClaimEvent {
            val row = when (val read = table.get(rowKey)) {
                is ReadResult.Found -> read.value
                is ReadResult.Unavailable -> null.also { logUnavailable(read.reason) }
            } ?: return ClaimEvent.StoreDown
            val stored = StoredClaim.parseFrom(row.value)
            if (stored.operationId == operationId) return ClaimEvent.Inserted
            if (isExpired(stored) || wasNeverDispatched(stored)) return takeOver(row)
            existing = stored
            return ClaimEvent.Exists(existingState(stored))
        }

        private suspend fun takeOver(row: Row): ClaimEvent {
            rowVersion = row.version + 1
            val replace = RowWrite.Replace(rowKey, row.version, runningRow().toByteString())
            return eventOf(table.write(listOf(replace)))
        }

        private suspend fun readBack(): ClaimEvent {
            val found = table.get(rowKey) as? ReadResult.Found ?: return ClaimEvent.Unknown
            val row = found.value ?: return ClaimEvent.Absent
            val stored = StoredClaim.parseFrom(row.value)
            if (stored.operationId == operationId) return ClaimEvent.Inserted
            existing = stored
            return ClaimEvent.Exists(existingState(stored))
        }

        private suspend fun dispatchOnce(): ClaimEvent {
            invariant(!claim.isDispatched) { "a claim must be dispatched at most once" }
            claim.isDispatched = true
            val end = dispatch()
            finalResult = end
            return when (end) {
                is DispatchResult.Buffered -> ClaimEvent.Answered
                is DispatchResult.Streamed -> ClaimEvent.Answered
                is DispatchResult.Interrupted -> ClaimEvent.InDoubt
                is DispatchResult.Refused -> if (end.refusal.run == RunState.NOT_RUN) {
                    ClaimEvent.NotSent
                } else {
                    ClaimEvent.InDoubt
                }
            }
        }

        /** Writes the result to the claim row; the caller does not wait for it. */
        private fun storeResult(isInDoubt: Boolean) {
            val response = (finalResult as? DispatchResult.Buffered)?.response
            core.scope.launch {
                val row = if (isInDoubt || response == null) {
                    runningRow().toBuilder().setMayHaveRun(true).build()
                } else {
                    rowWithResponse(response)
                }
                table.write(listOf(RowWrite.Replace(rowKey, rowVersion, row.toByteString())))
            }
        }

        private suspend fun rowWithResponse(response: BufferedResponse): StoredClaim {
            val row = runningRow().toBuilder().setState(ClaimReply.State.FINISHED)
            val stored = storedResponse(response)
            if (stored.serializedSize <= MAX_ROW_ANSWER_BYTES) return row.setAnswer(stored).build()
            val key = "answers/$operationId"
            return if (core.objects.put(key, stored.toByteArray())) {
                row.setAnswerObject(key).build()
            } else {
                row.setState(ClaimReply.State.RUNNING).setMayHaveRun(true).build()
            }
        }

        private suspend fun releaseClaim() {
            val found = (table.get(rowKey) as? ReadResult.Found)?.value ?: return
            val stored = StoredClaim.parseFrom(found.value)
            if (stored.operationId != operationId) return
            table.write(listOf(RowWrite.Delete(rowKey, found.version)))
        }

        private suspend fun join(): DispatchResult {
            val stored = existing ?: return DispatchResult.Refused(Refusal.IN_DOUBT)
            return when {
                stored.fingerprint != request.fingerprint -> DispatchResult.Refused(
                    Refusal.KEY_REUSED
                )
                stored.state == ClaimReply.State.FINISHED -> storedResult(stored)
                stored.mayHaveRun -> DispatchResult.Refused(Refusal.IN_DOUBT)
                else -> joinOwner(stored)
            }
        }

        private suspend fun joinOwner(stored: StoredClaim): DispatchResult {
            val remainingMillis = request.deadlineMillis - core.clock.nowMillis()
            val reply = queryOwner(stored, remainingMillis.coerceIn(1, MAX_JOIN_WAIT_MILLIS))
            return when (reply?.state) {
                ClaimReply.State.FINISHED -> DispatchResult.Buffered(responseOf(reply.answer))
                ClaimReply.State.RUNNING -> DispatchResult.Refused(Refusal.STILL_RUNNING)
                ClaimReply.State.NOT_DISPATCHED -> DispatchResult.Refused(Refusal.CLAIM_UNAVAILABLE)
                else -> resultFromStore()
            }
        }

        /** Reads the claim row again: an owner that did not answer may have stored its response. */
        private suspend fun resultFromStore(): DispatchResult {
            val row = (table.get(rowKey) as? ReadResult.Found)?.value
            val stored = row?.let { StoredClaim.parseFrom(it.value) }
            return if (stored?.state == ClaimReply.State.FINISHED) {
                storedResult(stored)
            } else {
                DispatchResult.Refused(Refusal.IN_DOUBT)
            }
        }

        private suspend fun storedResult(stored: StoredClaim): DispatchResult {
            if (stored.answerObject.isEmpty()) {
                return DispatchResult.Buffered(responseOf(stored.answer))
            }
            val found = core.objects.get(stored.answerObject) as? ObjectResult.Found
                ?: return DispatchResult.Refused(Refusal.IN_DOUBT)
            return DispatchResult.Buffered(responseOf(StoredAnswer.parseFrom(found.bytes)))
        }

        private suspend fun wasNeverDispatched(stored: StoredClaim): Boolean {
            if (stored.state != ClaimReply.State.RUNNING || stored.mayHaveRun) return false
            return queryOwner(stored, 1)?.state == ClaimReply.State.NOT_DISPATCHED
        }

        private suspend fun queryOwner(stored: StoredClaim, waitMillis: Long): ClaimReply? {
            val query = ClaimQuery.newBuilder()
                .setWorkspace(request.workspaceName)
                .setIdempotencyKey(idempotencyKey)
                .setOperationId(stored.operationId)
                .setWaitMillis(waitMillis)
                .build()
            if (stored.ownerSession == core.sessions.session) return status(query)
            val owner = HostPort.parse(stored.ownerAddress)
            val timeoutMillis = waitMillis + CALL_MARGIN_MILLIS
            val answer = core.peers.peer(owner, timeoutMillis) { claimStatus(query) }
            return (answer as? PeerResult.Answer)?.value
        }

        private fun refusal(end: ClaimEnd): DispatchResult = when (end) {
            ClaimEnd.MAY_HAVE_RUN -> DispatchResult.Refused(Refusal.IN_DOUBT)
            else -> DispatchResult.Refused(Refusal.CLAIM_UNAVAILABLE)
        }

        private fun isExpired(stored: StoredClaim): Boolean {
            val windowMillis = if (request.raw.headers.contains("idempotency-key")) {
                maxOf(IDEMPOTENCY_WINDOW_MILLIS, request.route.duplicateWindowMillis)
            } else {
                request.route.duplicateWindowMillis
            }
            return System.currentTimeMillis() - stored.claimedAtEpochMillis > windowMillis
        }

        private fun existingState(stored: StoredClaim): ExistingClaim = when {
            stored.state == ClaimReply.State.FINISHED -> ExistingClaim.Finished
            stored.mayHaveRun -> ExistingClaim.InDoubt
            else -> ExistingClaim.Pending
        }

        private fun runningRow(): StoredClaim = StoredClaim.newBuilder()
            .setOperationId(operationId)
            .setOwnerSession(core.sessions.session)
            .setOwnerAddress(core.settings.address.toString())
            .setClaimedAtEpochMillis(System.currentTimeMillis())
            .setState(ClaimReply.State.RUNNING)
            .setFingerprint(request.fingerprint)
            .build()

        private fun recordEvent(effect: ClaimEffect) {
            val name = effect.javaClass.simpleName.lowercase()
            core.events.add(NodeEvent.Claim(request.raw.id, request.workspaceName, name))
        }

        /** Completes waiting status queries and removes the claim after its retention period. */
        private suspend fun completeLocalClaim() = withContext(NonCancellable) {
            val response = (finalResult as? DispatchResult.Buffered)?.response
            val reply = ClaimReply.newBuilder()
            when {
                !claim.isDispatched -> reply.setState(ClaimReply.State.NOT_DISPATCHED)
                response != null -> reply.setState(
                    ClaimReply.State.FINISHED
                ).setAnswer(storedResponse(response))
                else -> reply.setState(ClaimReply.State.UNKNOWN)
            }
            claim.end.complete(reply.build())
            core.timers.after(LOCAL_CLAIM_RETENTION_MILLIS) { localClaims.remove(operationId) }
        }
    }

    private fun storedResponse(response: BufferedResponse): StoredAnswer = StoredAnswer.newBuilder()
        .setStatus(response.head.status)
        .putAllHeaders(response.head.headers.toMap())
        .setBody(ByteString.copyFrom(response.body.bytes))
        .build()

    private fun responseOf(stored: StoredAnswer): BufferedResponse = BufferedResponse(
        ResponseHead(stored.status, stored.headersMap.map { it.key to it.value }),
        Buffer.buffer(stored.body.toByteArray())
    )

    private companion object {
        val log = LogManager.getLogger(ClaimManager::class.java)
        const val IDEMPOTENCY_WINDOW_MILLIS = 86_400_000L
        const val MAX_JOIN_WAIT_MILLIS = 30_000L
        const val CALL_MARGIN_MILLIS = 500L
        const val RETRY_MILLIS = 20L
        const val LOCAL_CLAIM_RETENTION_MILLIS = 600_000L
        const val MAX_ROW_ANSWER_BYTES = 100_000
    }
}
