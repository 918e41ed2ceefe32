package cactusfold.entry.soak

import cactusfold.entry.path.PlatformFixture
import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random

/** A request whose last byte was written, with its moments by `System.nanoTime()`. */
class SentCall(
    val id: String,
    val plan: CallPlan,
    val startedAtNanos: Long,
    val sentAtNanos: Long,
    val end: CallEnd,
    val endedAtNanos: Long
)

/** One run: an entry process under planned work, its callers, and sometimes a process beside it. */
class SoakRun(val plan: SoakPlan) {
    val calls: MutableCollection<SentCall> = ConcurrentLinkedQueue()
    val platform = PlatformFixture()

    private lateinit var limits: LimitRules

    /** When the first SIGTERM was sent. */
    var terminatedAtNanos: Long = 0
        private set

    /** When the planned process was gone; null before that. */
    var exitedAtNanos: Long? = null
        private set

    /** Runs and returns what broke a rule. */
    fun run(): SoakReport = platform.use {
        val runners = listOf("i-1", "i-2", "i-3")
            .associateWith { platform.runner(it, "engine", setOf("warm")) } +
            listOf("d-1", "d-2", "d-3").associateWith { platform.runner(it, "desk") }
        limits = LimitRules(runners)
        platform.runners.forEach {
            it.loadMillis = plan.loadMillis
            it.shapeOf = CallPlan::shapeOf
        }
        plan.initial.write(platform)
        val beside = if (plan.beside == Beside.COORDINATES) serving("beside") else null
        beside.use {
            serving("planned").use { entry ->
                val follower = if (plan.beside == Beside.FOLLOWS) serving("beside") else null
                follower.use { serve(entry, beside ?: follower) }
            }
        }
    }

    private fun serving(vm: String): EntryJvm {
        val entry = EntryJvm("seed-${plan.seed}", vm, platform.store.port, plan.stopMillis)
        try {
            entry.awaitServing()
        } catch (e: IllegalStateException) {
            entry.close()
            throw e
        }
        return entry
    }

    private fun serve(entry: EntryJvm, beside: EntryJvm?): SoakReport {
        val callers = plan.callers.map { random -> thread { callUntilGone(entry, random) } }
        terminatedAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(plan.leadMillis)
        val rules = ProcessRules(plan)
        val limiting = thread { changeLimits() }
        for ((atMillis, work) in plan.work) {
            sleepUntil(terminatedAtNanos + TimeUnit.MILLISECONDS.toNanos(atMillis))
            if (atMillis > 0 && !entry.isAlive) break
            if (atMillis == 0L) {
                rules.checkAlive(entry)
                terminatedAtNanos = System.nanoTime()
            }
            perform(work, entry)
        }
        rules.checkExit(entry, terminatedAtNanos)
        exitedAtNanos = entry.exitedAtNanos
        entry.close()
        callers.forEach(Thread::join)
        limiting.join()
        rules.checkOutput(entry)
        if (beside != null) {
            rules.checkAlive(beside)
            val terminatedAtNanos = System.nanoTime()
            beside.terminate()
            rules.checkExit(beside, terminatedAtNanos)
            rules.checkOutput(beside)
        }
        return RequestRules(this, entry.output()).report(rules.violations + limits.violations())
    }

    private fun changeLimits() {
        val plannedAtNanos = terminatedAtNanos
        for (change in plan.limits) {
            sleepUntil(plannedAtNanos + TimeUnit.MILLISECONDS.toNanos(change.atMillis))
            limits.apply(change)
        }
    }

    private fun perform(work: PlannedWork, entry: EntryJvm) = when (work) {
        is PlannedWork.Configure -> work.write(platform)
        PlannedWork.Hangup -> entry.hangup()
        PlannedWork.Terminate -> entry.terminate()
    }

    /** Keeps a connection until it ends or an answer says that it will. */
    private fun callUntilGone(entry: EntryJvm, random: Random) {
        var connection: CallerConnection? = null
        while (entry.isAlive) {
            val call = CallPlan.draw(random)
            val pauseMillis = if (random.nextInt(10) == 0) 1_100L else random.nextLong(0, 200)
            val bufferBytes = if (random.nextInt(3) == 0) SMALL_BUFFER_BYTES else null
            val closes = try {
                val open = connection ?: CallerConnection(entry.callersPort, bufferBytes)
                connection = open
                call(open, call)
            } catch (_: IOException) {
                // No connection, or it ended before the whole request was written.
                true
            }
            if (closes) {
                connection?.close()
                connection = null
            }
            Thread.sleep(pauseMillis)
        }
        connection?.close()
    }

    /** Returns whether the connection takes no further request. */
    private fun call(connection: CallerConnection, call: CallPlan): Boolean {
        val startedAtNanos = System.nanoTime()
        val id = call.send(connection)
        val sentAtNanos = System.nanoTime()
        val end = call.receive(connection)
        calls += SentCall(id, call, startedAtNanos, sentAtNanos, end, System.nanoTime())
        return when (end) {
            is CallEnd.Answered -> end.closes
            is CallEnd.Cut -> true
        }
    }

    private fun sleepUntil(nanos: Long) {
        val leftMillis = TimeUnit.NANOSECONDS.toMillis(nanos - System.nanoTime())
        if (leftMillis > 0) Thread.sleep(leftMillis)
    }

    private companion object {
        const val SMALL_BUFFER_BYTES = 16_384
    }
}
