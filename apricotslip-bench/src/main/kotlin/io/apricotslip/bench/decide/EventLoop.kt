package io.apricotslip.bench.decide

import java.util.PriorityQueue

/** Runs actions in the order of their virtual time; actions of the same time in the order in which they were added. */
internal class EventLoop {
    private class Event(val at: Long, val number: Long, val action: () -> Unit)

    private val events = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.number })
    private var added = 0L

    /** Virtual time in nanoseconds. */
    var now: Long = 0
        private set

    fun at(time: Long, action: () -> Unit) {
        events += Event(maxOf(time, now), added++, action)
    }

    fun after(nanos: Long, action: () -> Unit): Unit = at(now + nanos, action)

    fun run(until: Long) {
        while (events.isNotEmpty() && events.peek().at <= until) {
            val event = events.poll()
            now = event.at
            event.action()
        }
        now = until
    }
}
