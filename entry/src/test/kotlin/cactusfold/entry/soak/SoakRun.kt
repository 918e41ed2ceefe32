package cactusfold.entry.soak

import cactusfold.entry.path.PlatformFixture
import cactusfold.entry.soak.SoakPlan.Companion.VERSIONS
import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import cactusfold.platform.standin.RunnerBehavior
import cactusfold.platform.standin.RunnerStandin
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

    /** When each engine crashed, by `System.nanoTime()`. */
    val crashedAtNanos: MutableCollection<Long> = ConcurrentLinkedQueue()

    private lateinit var limits: LimitRules
    private lateinit var runners: Map<String, RunnerStandin>

    /** When a runner began to say that it leaves; null before that. */
    private var leavesAtNanos: Long? = null

    /** When the first SIGTERM was sent. */
    var terminatedAtNanos: Long = 0
        private set

    /** When the planned process was gone; null before that. */
    var exitedAtNanos: Long? = null
        private set

    /** Runs and returns what broke a rule. */
    fun run(): SoakReport = platform.use {
        runners = listOf("i-1", "i-2", "i-3").withIndex()
            .associate { (i, id) -> id to engine(id, VERSIONS[i % VERSIONS.size]) } +
            listOf("d-1", "d-2", "d-3").associateWith { platform.runner(it, "desk") }
        limits = LimitRules(runners)
        platform.runners.forEach {
            it.loadMillis = plan.loadMillis
            it.shapeOf = { request -> CallPlan.shapeOf(request).copy(fails = plan.copies.fails()) }
            it.lateCopies = plan.copies.of()
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

    private fun engine(id: String, version: String): RunnerStandin =
        platform.runner(id, "engine", setOf("warm"), version).apply { eventText = version }

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
        val callers = plan.callers.mapIndexed { i, random ->
            thread { callUntilGone(entry, beside ?: entry, random, plan.leaving(i)) }
        }
        terminatedAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(plan.leadMillis)
        val rules = ProcessRules(plan)
        val changing = listOf(
            thread { changeLimits() },
            thread { restartEngines() },
            thread { writeForeignRows() },
            thread { plan.foreign.leaving?.let(::leave) }
        ) + plan.refusals.map { thread { repeatRefusals(it) } } +
            plan.foreign.endless.map { thread { answerWithoutEnd(it) } }
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
        changing.forEach(Thread::join)
        rules.checkOutput(entry)
        val orders = OrderRules(runners)
        orders.check(entry)
        if (beside != null) {
            rules.checkAlive(beside)
            val terminatedAtNanos = System.nanoTime()
            beside.terminate()
            rules.checkExit(beside, terminatedAtNanos)
            rules.checkOutput(beside)
            orders.check(beside)
        }
        return RequestRules(this, entry.output()).report(
            rules.violations + orders.violations + limits.violations() + leavingViolations()
        )
    }

    private fun changeLimits() {
        val plannedAtNanos = terminatedAtNanos
        for (change in plan.limits) {
            sleepUntil(plannedAtNanos + TimeUnit.MILLISECONDS.toNanos(change.atMillis))
            limits.apply(change)
        }
    }

    private fun restartEngines() {
        val plannedAtNanos = terminatedAtNanos
        val startsAtNanos = HashMap<String, Long>()
        for (restart in plan.restarts) {
            sleepUntil(plannedAtNanos + TimeUnit.MILLISECONDS.toNanos(restart.atMillis))
            val nowNanos = System.nanoTime()
            // An engine that is not back yet cannot crash.
            if (nowNanos < (startsAtNanos[restart.runner] ?: nowNanos)) continue
            val runner = runners.getValue(restart.runner)
            crashedAtNanos += nowNanos
            startsAtNanos[restart.runner] =
                nowNanos + TimeUnit.MILLISECONDS.toNanos(2 * runner.returnMillis)
            runner.softwareVersion = restart.version
            runner.crash()
            // What it sends before its connections are closed is still of the old version.
            Thread.sleep(runner.returnMillis / 2)
            runner.eventText = restart.version
        }
    }

    private fun repeatRefusals(refusals: RepeatedRefusals) {
        val plannedAtNanos = terminatedAtNanos
        val runner = runners.getValue(refusals.runner)
        sleepUntil(plannedAtNanos + TimeUnit.MILLISECONDS.toNanos(refusals.fromMillis))
        runner.behavior = RunnerBehavior.REPEATS_REFUSALS
        sleepUntil(plannedAtNanos + TimeUnit.MILLISECONDS.toNanos(refusals.untilMillis))
        runner.behavior = RunnerBehavior.NORMAL
    }

    private fun writeForeignRows() {
        val plannedAtNanos = terminatedAtNanos
        for (row in plan.foreign.rows.sortedBy { it.atMillis }) {
            sleepUntil(plannedAtNanos + TimeUnit.MILLISECONDS.toNanos(row.atMillis))
            platform.store.put("servers", row.key, row.value)
        }
    }

    private fun answerWithoutEnd(endless: EndlessAnswers) {
        val plannedAtNanos = terminatedAtNanos
        val runner = runners.getValue(endless.runner)
        sleepUntil(plannedAtNanos + TimeUnit.MILLISECONDS.toNanos(endless.fromMillis))
        runner.setEndless(endless.inReports, true)
        sleepUntil(plannedAtNanos + TimeUnit.MILLISECONDS.toNanos(endless.untilMillis))
        runner.setEndless(endless.inReports, false)
    }

    private fun RunnerStandin.setEndless(inReports: Boolean, isEndless: Boolean) {
        if (inReports) reportsWithoutEnd = isEndless else answersWithoutEnd = isEndless
    }

    private fun leave(leaving: Leaving) {
        val plannedAtNanos = terminatedAtNanos
        val runner = runners.getValue(leaving.runner)
        sleepUntil(plannedAtNanos + TimeUnit.MILLISECONDS.toNanos(leaving.atMillis))
        leavesAtNanos = System.nanoTime()
        runner.behavior = RunnerBehavior.LEAVES
        for (lapsesAtMillis in leaving.lapsesAtMillis) {
            sleepUntil(plannedAtNanos + TimeUnit.MILLISECONDS.toNanos(lapsesAtMillis))
            platform.store.remove("servers", leaving.runner)
            Thread.sleep(LAPSE_MILLIS)
            platform.operator.register(leaving.runner, runner, "desk")
        }
    }

    /** Requests to a runner that the processes had been told of that it leaves. */
    private fun leavingViolations(): List<Violation> {
        val leaving = plan.foreign.leaving ?: return emptyList()
        val saidFromNanos = leavesAtNanos ?: return emptyList()
        val requests = runners.getValue(leaving.runner).arrivals
            .filter { it.path.startsWith("/book/") || it.path.startsWith("/look/") }
            .map { it.atNanos }.filter { it >= saidFromNanos }
        val toldNanos = requests.minOrNull() ?: return emptyList()
        // Another process is told by the coordinator, which may be the one that stops.
        val allowedMillis = if (plan.beside == Beside.NONE) DRAIN_MILLIS else CONTACT_MILLIS
        val late = requests.map { TimeUnit.NANOSECONDS.toMillis(it - toldNanos) }
            .filter { it > allowedMillis }
        if (late.isEmpty()) return emptyList()
        return listOf(
            Violation(Rule.NOT_AFTER_LEAVING, "after it said that it leaves", "$late ms after")
        )
    }

    private fun perform(work: PlannedWork, entry: EntryJvm) = when (work) {
        is PlannedWork.Configure -> work.write(platform)
        PlannedWork.Hangup -> entry.hangup()
        PlannedWork.Terminate -> entry.terminate()
    }

    /**
     * Keeps a connection until it ends or an answer says that it will. Streams that break off, or
     * that the caller leaves, are taken up at [other].
     */
    private fun callUntilGone(entry: EntryJvm, other: EntryJvm, random: Random, leaving: Random) {
        var connection: CallerConnection? = null
        while (entry.isAlive) {
            val call = CallPlan.draw(random)
            val pauseMillis = if (random.nextInt(10) == 0) 1_100L else random.nextLong(0, 200)
            val bufferBytes = if (random.nextInt(3) == 0) SMALL_BUFFER_BYTES else null
            val closes = try {
                val open = connection ?: CallerConnection(entry.callersPort, bufferBytes)
                connection = open
                val leaveMillis = leaving.nextLong(MAX_LEAVE_MILLIS).takeIf {
                    leaving.nextBoolean()
                }
                val sent = call(open, call, leaveMillis)
                if (sent.end.closes) open.close()
                takeUp(sent, other, leaving)
                sent.end.closes
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

    private fun call(connection: CallerConnection, call: CallPlan, leaveMillis: Long?): SentCall {
        val startedAtNanos = System.nanoTime()
        val id = call.send(connection)
        val sentAtNanos = System.nanoTime()
        val end = call.receive(connection, leaveMillis)
        return SentCall(id, call, startedAtNanos, sentAtNanos, end, System.nanoTime())
            .also { calls += it }
    }

    /** Asks [entry] for the rest of the stream that broke off, until it refuses. */
    private fun takeUp(brokenOff: SentCall, entry: EntryJvm, leaving: Random) {
        var last = brokenOff
        while (entry.isAlive) {
            val end = last.end as? CallEnd.Cut ?: return
            val call = last.plan.takenUp(last.id, end.body) ?: return
            val leaveMillis = leaving.nextLong(MAX_LEAVE_MILLIS).takeIf { leaving.nextBoolean() }
            last = CallerConnection(entry.callersPort).use { call(it, call, leaveMillis) }
        }
    }

    private fun sleepUntil(nanos: Long) {
        val leftMillis = TimeUnit.NANOSECONDS.toMillis(nanos - System.nanoTime())
        if (leftMillis > 0) Thread.sleep(leftMillis)
    }

    private companion object {
        /** Whether the connection takes no further request. */
        val CallEnd.closes: Boolean
            get() = when (this) {
                is CallEnd.Answered -> closes
                is CallEnd.Cut -> true
            }

        const val SMALL_BUFFER_BYTES = 16_384
        const val LAPSE_MILLIS = 900L

        /** The users' bound on requests after a process has passed on that a runner leaves. */
        const val DRAIN_MILLIS = 2_000L

        /** That bound, and the time that a change of the coordinator takes for others. */
        const val CONTACT_MILLIS = 5_000L
        const val MAX_LEAVE_MILLIS = 2_000L
    }
}
