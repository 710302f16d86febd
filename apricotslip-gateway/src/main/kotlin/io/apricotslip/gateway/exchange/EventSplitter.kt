package io.apricotslip.gateway.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** Cuts a stream into whole events and reads their ids; bytes of an event that is not whole are kept back. */
internal class EventSplitter {
    private var rest: ByteBuf = Unpooled.EMPTY_BUFFER

    /** Id of the last whole event; null before the first one that has an id. */
    var lastId: Long? = null
        private set

    /** Number of whole events so far. */
    var events: Int = 0
        private set

    /** Whether bytes of an event that is not whole are kept back. */
    val partial: Boolean
        get() = rest.isReadable

    /** Takes [bytes] and returns those of the events that are whole now, or null when there are none. */
    fun take(bytes: ByteBuf): ByteBuf? {
        val all = if (rest.isReadable) Unpooled.wrappedBuffer(rest, bytes.copy()) else bytes.copy()
        rest = Unpooled.EMPTY_BUFFER
        val end = wholeEnd(all)
        if (end == 0) {
            rest = all
            return null
        }
        if (end == all.readableBytes()) return all
        val whole = all.readRetainedSlice(end)
        rest = all.readBytes(all.readableBytes())
        all.release()
        return whole
    }

    /** Drops what is kept back. */
    fun reset() {
        rest.release()
        rest = Unpooled.EMPTY_BUFFER
    }

    /** Returns what is kept back, for a stream that ended. */
    fun remainder(): ByteBuf? {
        if (!rest.isReadable) return null
        return rest.also { rest = Unpooled.EMPTY_BUFFER }
    }

    private fun wholeEnd(all: ByteBuf): Int {
        var end = 0
        var line = 0
        var id: Long? = null
        val size = all.readableBytes()
        while (line < size) {
            val feed = all.indexOf(line, size, '\n'.code.toByte())
            if (feed < 0) break
            val length = lineLength(all, line, feed)
            if (length == 0) {
                end = feed + 1
                events++
                if (id != null) lastId = id
                id = null
            } else {
                id = idOf(all, line, length) ?: id
            }
            line = feed + 1
        }
        return end
    }

    private fun lineLength(all: ByteBuf, start: Int, feed: Int): Int {
        val length = feed - start
        return if (length > 0 && all.getByte(feed - 1) == '\r'.code.toByte()) length - 1 else length
    }

    private fun idOf(all: ByteBuf, start: Int, length: Int): Long? {
        if (length <= ID.length) return null
        for (i in ID.indices) if (all.getByte(start + i) != ID[i].code.toByte()) return null
        return all.toString(start + ID.length, length - ID.length, Charsets.US_ASCII).trim().toLongOrNull()
    }

    private companion object {
        const val ID = "id:"
    }
}
