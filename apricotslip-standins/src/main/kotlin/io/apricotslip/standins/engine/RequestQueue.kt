package io.apricotslip.standins.engine

import java.util.PriorityQueue

/** Streams that wait: lowest priority number first, then the order of arrival. */
internal class RequestQueue {
    private class Entry(val stream: CompletionStream, val arrival: Long)

    private val order = compareBy<Entry>({ it.stream.body.priority }, { it.arrival })
    private val entries = PriorityQueue(order)
    private var arrivals = 0L

    /** Streams that wait. */
    val size: Int get() = entries.size

    /** Adds [stream] at its place. */
    fun add(stream: CompletionStream) {
        entries.add(Entry(stream, arrivals++))
    }

    /** Takes out the most urgent stream, or null. */
    fun poll(): CompletionStream? = entries.poll()?.stream

    /** Takes out [stream]. */
    fun remove(stream: CompletionStream) {
        entries.removeIf { it.stream === stream }
    }

    /** Takes out all. */
    fun clear() {
        entries.clear()
    }
}
