package cactusfold.decisions.routing

import java.util.PriorityQueue
import kotlin.random.Random

/** Chooses a runner at time [nowMillis] on VM [vm], given what that VM knows. */
internal fun interface LoopChoice {
    fun choose(vm: Int, views: List<RunnerView>, work: RequestWork, nowMillis: Long): String?
}

/**
 * A closed loop of choices in virtual time: requests arrive at random VMs, which know their own
 * requests, what answers to them stated, and sums of the fleet as of the last announcement.
 */
internal class ChoiceLoop(
    private val runners: Int,
    private val vms: Int,
    private val hasCoordinator: Boolean = true,
    private val slowdown: (runner: Int, nowMillis: Long) -> Double = { _, _ -> 1.0 }
) {
    private val random = Random(7)
    private val own = Array(vms) { IntArray(runners) }
    private val running = IntArray(runners)
    private val stated = Array(vms) { arrayOfNulls<Stated>(runners) }
    private var summed = running.copyOf()
    private var announced = running.copyOf()
    private val later = PriorityQueue<Pair<Double, () -> Unit>>(compareBy { it.first })
    val sent = IntArray(runners)
    val firstMillis = mutableListOf<Double>()

    private class Stated(val requests: Int, val own: Int, val slowdown: Double, val at: Double)

    fun run(perSecond: Double, requests: Int, work: (Random) -> RequestWork, choice: LoopChoice) {
        var now = 0.0
        var announceAt = 0.0
        repeat(requests) {
            now -= Math.log(1 - random.nextDouble()) * 1_000 / perSecond
            while (later.isNotEmpty() && later.peek().first <= now) later.poll().second()
            if (now >= announceAt) {
                // Reports are a heartbeat old when they are announced.
                announced = summed
                summed = running.copyOf()
                announceAt = now + 400
            }
            val vm = random.nextInt(vms)
            val next = work(random)
            val id = choice.choose(vm, List(runners) { view(vm, it, now) }, next, now.toLong())
            start(vm, checkNotNull(id).toInt(), next, now)
        }
    }

    private fun start(vm: Int, runner: Int, work: RequestWork, now: Double) {
        val slow = slowdown(runner, now.toLong()) * (1 + running[runner] / 24.0)
        val first = now + (work.promptTokens / 19.5 + 9.5) * slow
        val end = first + work.outputTokens * 9.5 * slow
        sent[runner]++
        running[runner]++
        own[vm][runner]++
        firstMillis += first - now
        later += first to {
            val slowNow = slowdown(runner, first.toLong())
            stated[vm][runner] = Stated(running[runner], own[vm][runner], slowNow, first)
        }
        later += end to {
            running[runner]--
            own[vm][runner]--
        }
    }

    private fun view(vm: Int, runner: Int, now: Double): RunnerView {
        val mine = own[vm][runner]
        val others = OtherUse((announced[runner] - mine).coerceAtLeast(0), 0, 600)
        return RunnerView(
            upstream = "$runner",
            zone = "z",
            slots = 24,
            inFlight = mine,
            stated = stated[vm][runner]?.let {
                val requests = (it.requests + mine - it.own).coerceAtLeast(0)
                StatedLoad(requests, it.slowdown, (now - it.at).toLong())
            },
            others = others.takeIf { hasCoordinator }
        )
    }

    val medianFirstMillis: Double get() = firstMillis.sorted()[firstMillis.size / 2]

    /** Requests of the busiest runner, relative to the mean. */
    val busiest: Double get() = sent.max() / sent.average()
}
