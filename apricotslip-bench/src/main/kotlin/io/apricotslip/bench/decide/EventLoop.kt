package io.apricotslip.bench.decide

import java.util.PriorityQueue

/** Runs actions in order of their virtual time; actions due at the same time run in the order they were added. */
internal class EventLoop {
    private class Event(val time: Long, val sequence: Long, val action: () -> Unit)

    private val events = PriorityQueue(compareBy<Event> { it.time }.thenBy { it.sequence })
    private var nextSequence = 0L

    /** Virtual time in nanoseconds. */
    var now: Long = 0
        private set

    fun scheduleAt(time: Long, action: () -> Unit) {
        events += Event(maxOf(time, now), nextSequence++, action)
    }

    fun scheduleAfter(nanos: Long, action: () -> Unit): Unit = scheduleAt(now + nanos, action)

    fun run(until: Long) {
        while (events.isNotEmpty() && events.peek().time <= until) {
            val event = events.poll()
            now = event.time
            event.action()
        }
        now = until
    }
}
