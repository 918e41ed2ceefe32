package cactusfold.decisions.suspect

import java.util.PriorityQueue
import kotlin.random.Random

/** What a run of [PromptBlockModel] produced, in virtual time. */
class PromptBlockRun {
    /** When runners were crashed by requests with a poison block. */
    val crashesAtMillis = mutableListOf<Long>()

    /** When requests with a poison block began at a runner. */
    val poisonStartsAtMillis = mutableListOf<Long>()

    /** Requests without a poison block: when they came, and whether they were sent. */
    val sound = mutableListOf<Pair<Long, Boolean>>()
}

/**
 * Processes that share crashes and completions with a delay, in front of runners that crash and
 * return, in virtual time.
 *
 * @param poisonShare share of the requests with the poison block, from [POISON_FROM_MILLIS] on.
 * @param outagesAtMillis when two thirds of the runners fail at once, for no fault of a prompt.
 */
class PromptBlockModel(
    private val random: Random,
    private val poisonShare: Double,
    private val outagesAtMillis: List<Long> = emptyList(),
    private val durationMillis: Long = 40_000
) {
    private inner class Runner(val id: String) {
        var start = 1L
        var isUp = true
        val running = mutableSetOf<Request>()
    }

    private class Request(val blocks: List<String>, val process: Process) {
        var writesSinceMillis: Long? = null
        var attempts = 0
    }

    /** Shares what it observes as an entry process does. */
    private inner class Process {
        var state = PromptBlockState()

        fun observeCrash(id: CrashId, blocks: List<String>) {
            hearCrash(id, blocks, nowMillis)
            val atMillis = nowMillis
            share { it.hearCrash(id, blocks, atMillis) }
        }

        fun hearCrash(id: CrashId, blocks: List<String>, atMillis: Long) {
            val before = state
            state = tracker.crashed(state, id, blocks, atMillis, nowMillis)
            if (state === before) return
            blocks.forEach { block -> state.completedAtMillis[block]?.let { report(block, it) } }
        }

        fun observeCompletion(blocks: List<String>) {
            val suspected = blocks.filter { tracker.isSuspected(state, it) }
            state = tracker.completed(state, blocks, nowMillis, nowMillis)
            suspected.forEach { report(it, nowMillis) }
        }

        private fun report(block: String, atMillis: Long) {
            share { it.state = tracker.completed(it.state, listOf(block), atMillis, nowMillis) }
        }

        private fun share(hear: (Process) -> Unit) {
            processes.filter { it !== this }.forEach { other ->
                after(random.nextLong(50, 400)) { hear(other) }
            }
        }
    }

    private class Event(val atMillis: Long, val order: Int, val run: () -> Unit)

    private val tracker = PromptBlockTracker(PromptBlockSettings())
    private val processes = List(random.nextInt(2, 15)) { Process() }
    private val runners = List(random.nextInt(12, 30)) { Runner("r$it") }
    private val requestsPerSecond = random.nextInt(8, 40)
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.order }))
    private var nowMillis = 0L
    private var order = 0
    private val result = PromptBlockRun()

    fun run(): PromptBlockRun {
        after(0, ::arrive)
        outagesAtMillis.forEach { after(it, ::fail) }
        while (true) {
            val event = events.poll() ?: break
            if (event.atMillis > durationMillis) break
            nowMillis = event.atMillis
            event.run()
        }
        return result
    }

    private fun after(millis: Long, run: () -> Unit) {
        events += Event(nowMillis + millis, order++, run)
    }

    private fun arrive() {
        after(random.nextLong(1, 2_000L / requestsPerSecond)) { arrive() }
        val isPoison = nowMillis >= POISON_FROM_MILLIS && random.nextDouble() < poisonShare
        val shared = listOf("first${random.nextInt(2)}", "second${random.nextInt(40)}")
        val blocks = if (isPoison) shared + POISON else shared
        send(Request(blocks, processes.random(random)))
    }

    private fun send(request: Request) {
        val isRefused = tracker.judge(request.process.state, request.blocks, nowMillis) != null
        val isPoison = POISON in request.blocks
        if (!isPoison && request.attempts == 0) result.sound += nowMillis to !isRefused
        if (isRefused || request.attempts == 2) return
        val runner = runners.filter { it.isUp }.randomOrNull(random) ?: return
        request.attempts++
        request.writesSinceMillis = null
        runner.running += request
        if (isPoison) result.poisonStartsAtMillis += nowMillis
        after(random.nextLong(50, 800)) {
            if (request !in runner.running) return@after
            if (isPoison) {
                result.crashesAtMillis += nowMillis
                crash(runner)
            } else {
                request.writesSinceMillis = nowMillis
                after(random.nextLong(200, 3_000)) { complete(runner, request) }
            }
        }
    }

    private fun complete(runner: Runner, request: Request) {
        if (runner.running.remove(request)) request.process.observeCompletion(request.blocks)
    }

    private fun fail() {
        runners.filter { it.isUp && random.nextInt(3) > 0 }.forEach(::crash)
    }

    private fun crash(runner: Runner) {
        val id = CrashId(runner.id, runner.start)
        val broken = runner.running.toList()
        runner.running.clear()
        runner.isUp = false
        after(random.nextLong(1_000, 6_000)) {
            runner.isUp = true
            runner.start++
        }
        for (request in broken) {
            val writingMillis = request.writesSinceMillis?.let { nowMillis - it } ?: 0
            after(random.nextLong(1, 100)) {
                if (writingMillis <= 500) request.process.observeCrash(id, request.blocks)
                send(request)
            }
        }
    }

    companion object {
        const val POISON = "poison"
        const val POISON_FROM_MILLIS = 4_000L
    }
}
