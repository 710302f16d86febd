package io.apricotslip.serving.stream

import io.apricotslip.api.id.StreamKey
import io.apricotslip.api.peer.StreamKnowledge
import io.apricotslip.api.peer.StreamOrigin

/** What began the streams that callers may take up, bounded by time and number. */
internal class StreamMemory {
    private class Remembered(val knowledge: StreamKnowledge, val until: Long)

    private val streams = LinkedHashMap<StreamKey, Remembered>()

    /** Number of streams that are remembered. */
    val size: Int
        get() = streams.size

    /** Remembers for [lifetimeMillis] that [origin] began [stream]. */
    fun record(stream: StreamKey, origin: StreamOrigin, lifetimeMillis: Long, now: Long) {
        val known = StreamContinuation.merge(find(stream, now), StreamKnowledge.Known(origin))
        val until = now + lifetimeMillis.coerceIn(0, MAX_LIFETIME_MILLIS)
        val before = streams.remove(stream)
        streams[stream] = Remembered(known, maxOf(until, before?.until ?: until))
        removeEldest(now)
    }

    fun find(stream: StreamKey, now: Long): StreamKnowledge =
        streams[stream]?.takeIf { it.until > now }?.knowledge ?: StreamKnowledge.Unknown

    private fun removeEldest(now: Long) {
        val entries = streams.values.iterator()
        while (entries.hasNext()) {
            val eldest = entries.next()
            if (eldest.until > now && streams.size <= MAX_STREAMS) return
            entries.remove()
        }
    }

    companion object {
        /** A longer lifetime that another node names is not believed. */
        const val MAX_LIFETIME_MILLIS = 600_000L

        /** Bounds the memory to a few megabytes; the eldest streams are forgotten first. */
        const val MAX_STREAMS = 40_000
    }
}
