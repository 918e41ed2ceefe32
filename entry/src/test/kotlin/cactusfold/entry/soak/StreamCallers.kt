package cactusfold.entry.soak

import cactusfold.platform.standin.CallEnd
import cactusfold.platform.standin.CallerConnection
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random

/** A stream of one caller: its events from all answers that brought a part of it. */
class CalledStream<P> {
    /** An event, the software version in its data, and the phase of the run in which it came. */
    data class Event<P>(val id: Int, val version: String, val phase: P)

    val events = mutableListOf<Event<P>>()
    val refusals = mutableListOf<String>()

    /** The last phase in which it was taken up; null if it never was. */
    var takenUpIn: P? = null

    /** Number of events before it was first taken up. */
    var eventsBefore = 0

    val versions get() = events.mapTo(mutableSetOf()) { it.version }
    val hasGoneOn get() = events.size > eventsBefore
    val isConsecutive get() = events.withIndex().all { (i, event) -> event.id == i + 1 }

    fun wentOnIn(phase: P) = hasGoneOn && events.drop(eventsBefore).any { it.phase == phase }

    fun add(body: String, phase: P) {
        for (block in body.split("\n\n").filter { "\ndata: " in it }) {
            val id = block.substringAfter("id: ").substringBefore('\n').toInt()
            val version = block.substringAfter("data: ").substringBefore(' ')
            events += Event(id, version, phase)
        }
    }

    override fun toString() = "${events.map { "${it.id} ${it.version}" }} $takenUpIn $refusals"
}

/** Callers of streams with [events] events, who take up what breaks off, at any process. */
class StreamCallers<P>(
    private val events: Int,
    private val fleet: () -> List<EntryJvm>,
    private val phase: () -> P
) {
    /** All streams that have begun. */
    val streams = ConcurrentLinkedQueue<CalledStream<P>>()

    @Volatile
    private var isOver = false
    private var callers = emptyList<Thread>()

    /** Starts [count] callers. */
    fun start(count: Int) {
        callers = List(count) { i -> thread { callUntilOver(Random(i)) } }
    }

    /** Ends the callers, and waits for their last answers. */
    fun end() {
        isOver = true
        callers.forEach(Thread::join)
    }

    private fun callUntilOver(random: Random) {
        while (!isOver) {
            val stream = CalledStream<P>()
            val id = attempt(stream, random, null) ?: continue
            if (stream.events.isEmpty()) continue
            streams += stream
            if (stream.events.size < events) takeUp(stream, id, random)
        }
    }

    private fun takeUp(stream: CalledStream<P>, id: String, random: Random) {
        stream.eventsBefore = stream.events.size
        val untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETURN_MILLIS)
        while (!isOver && stream.events.size < events && System.nanoTime() < untilNanos) {
            attempt(stream, random, id to stream.events.last().id) ?: continue
            stream.takenUpIn = phase()
        }
    }

    /** Returns the id of an attempt at any process; null if that did not accept it. */
    private fun attempt(
        stream: CalledStream<P>,
        random: Random,
        resumes: Pair<String?, Int>?
    ): String? {
        val end: CallEnd
        val id: String
        try {
            CallerConnection(fleet().random(random).callersPort).use {
                id = it.send("/draft/x", "warm", TIMEOUT_MILLIS, resumes = resumes)
                end = it.receive()
            }
        } catch (_: IOException) {
            // The process is down.
            Thread.sleep(PAUSE_MILLIS)
            return null
        }
        when (end) {
            is CallEnd.Cut -> stream.add(end.body, phase())
            is CallEnd.Answered -> if (end.status == OK) {
                stream.add(end.body, phase())
            } else {
                stream.refusals += end.body.trim()
                Thread.sleep(PAUSE_MILLIS)
            }
        }
        return id
    }

    companion object {
        /** Time limit of the callers' requests. */
        const val TIMEOUT_MILLIS = 15_000L

        /** Time for which a caller tries to get the rest of its stream. */
        private const val RETURN_MILLIS = 20_000L
        private const val PAUSE_MILLIS = 100L
        private const val OK = 200
    }
}
