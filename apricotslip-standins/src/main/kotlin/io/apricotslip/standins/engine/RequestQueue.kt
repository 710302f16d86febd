package io.apricotslip.standins.engine

import java.util.PriorityQueue

/** Priority queue of waiting streams: lowest priority number first, then first come, first served. */
internal class RequestQueue {
    private class Entry(val stream: CompletionStream, val arrivalNumber: Long)

    private val byPriority = compareBy<Entry>({ it.stream.body.priority }, { it.arrivalNumber })
    private val entries = PriorityQueue(byPriority)
    private var nextArrivalNumber = 0L

    /** Number of waiting streams. */
    val size: Int get() = entries.size

    /** Adds [stream] behind those of its priority. */
    fun add(stream: CompletionStream) {
        entries.add(Entry(stream, nextArrivalNumber++))
    }

    /** Removes and returns the stream to run next, or null if none waits. */
    fun poll(): CompletionStream? = entries.poll()?.stream

    /** Removes [stream] if it waits. */
    fun remove(stream: CompletionStream) {
        entries.removeIf { it.stream === stream }
    }

    /** Removes all streams. */
    fun clear() {
        entries.clear()
    }
}
