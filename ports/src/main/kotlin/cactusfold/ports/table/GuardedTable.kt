package cactusfold.ports.table

import cactusfold.decisions.store.CallBudget
import cactusfold.decisions.store.CallBudgetState
import cactusfold.decisions.store.CircuitBreaker
import cactusfold.decisions.store.CircuitBreakerPhase
import cactusfold.decisions.store.CircuitBreakerState
import cactusfold.decisions.store.StorePurpose
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.coroutines.delay

/** Numbers of calls that a process has made to the table since it started. */
public data class StoreCallCounts(
    public val reads: Long,
    public val writes: Long,
    public val failures: Long
)

/**
 * A table behind a circuit breaker and a rate limit, which all callers in one process share.
 *
 * A call that exceeds the rate limit waits; a call while the circuit is open fails at once.
 */
public class GuardedTable(
    private val table: TableStore,
    private val circuit: CircuitBreaker,
    private val budget: CallBudget,
    private val nowMillis: () -> Long
) {
    private val lock = ReentrantLock()
    private var circuitState = CircuitBreakerState()
    private var budgetState: CallBudgetState = budget.start(nowMillis())
    private val reads = AtomicLong()
    private val writes = AtomicLong()
    private val failures = AtomicLong()

    /** Whether the circuit is closed, so that calls reach the table. */
    public val isUp: Boolean
        get() = lock.withLock { circuitState.phase == CircuitBreakerPhase.CLOSED }

    /** Moving average of the latency of successful calls. */
    public val latencyMillis: Double get() = lock.withLock { circuitState.averageLatencyMillis }

    /** Numbers of calls so far. */
    public val counts: StoreCallCounts
        get() = StoreCallCounts(reads.get(), writes.get(), failures.get())

    /** Returns the table for calls that spend the budget of [purpose]. */
    public fun forPurpose(purpose: StorePurpose): TableStore = PurposeView(purpose)

    private suspend fun <A> call(
        purpose: StorePurpose,
        refused: (String) -> A,
        failed: (A) -> Boolean,
        run: suspend () -> A
    ): A {
        val admitted = lock.withLock {
            circuit.admit(circuitState, nowMillis())?.also { circuitState = it } != null
        }
        if (!admitted) return refused("circuit open")
        var startedAtMillis = nowMillis()
        var result: A? = null
        try {
            awaitBudget(purpose)
            startedAtMillis = nowMillis()
            return run().also { result = it }
        } finally {
            record(result == null || failed(result!!), nowMillis() - startedAtMillis)
        }
    }

    private suspend fun awaitBudget(purpose: StorePurpose) {
        while (!trySpend(purpose)) delay(BUDGET_POLL_MILLIS)
    }

    private fun trySpend(purpose: StorePurpose): Boolean = lock.withLock {
        val next = budget.spend(budgetState, purpose, nowMillis()) ?: return false
        budgetState = next
        true
    }

    private fun record(isFailure: Boolean, durationMillis: Long) {
        if (isFailure) failures.incrementAndGet()
        lock.withLock {
            circuitState = if (isFailure) {
                circuit.failed(circuitState, nowMillis())
            } else {
                circuit.succeeded(circuitState, durationMillis)
            }
        }
    }

    private inner class PurposeView(private val purpose: StorePurpose) : TableStore {
        override suspend fun get(key: RowKey): ReadResult<Row?> = read { table.get(key) }

        override suspend fun list(
            partition: String,
            after: String,
            limit: Int
        ): ReadResult<List<Row>> = read { table.list(partition, after, limit) }

        override suspend fun write(writes: List<RowWrite>): WriteResult = call(
            purpose,
            { WriteResult.NotWritten(it) },
            { it is WriteResult.Unknown || it is WriteResult.NotWritten }
        ) {
            this@GuardedTable.writes.addAndGet(writes.size.toLong())
            table.write(writes)
        }

        private suspend fun <A> read(run: suspend () -> ReadResult<A>): ReadResult<A> = call(
            purpose,
            { ReadResult.Unavailable(it) },
            { it is ReadResult.Unavailable }
        ) {
            reads.incrementAndGet()
            run()
        }
    }

    private companion object {
        const val BUDGET_POLL_MILLIS = 5L
    }
}
