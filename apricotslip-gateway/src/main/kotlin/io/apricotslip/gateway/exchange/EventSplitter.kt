package io.apricotslip.gateway.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled

/** Splits an event stream into complete events and reads their ids; buffers the bytes of an incomplete event. */
internal class EventSplitter {
    private var incomplete: ByteBuf = Unpooled.EMPTY_BUFFER

    /** Start of the last line of [incomplete], whose end has not arrived. */
    private var lineStart = 0

    /** Bytes of [incomplete] that hold no further line end. */
    private var searched = 0

    /** Id that the incomplete event has named. */
    private var pendingId: Long? = null

    /** Id of the last complete event that has one; null before the first. */
    var lastEventId: Long? = null
        private set

    /** Number of complete events so far. */
    var eventCount: Int = 0
        private set

    /** Whether bytes of an incomplete event are buffered. */
    val hasIncompleteEvent: Boolean
        get() = incomplete.isReadable

    /** Whether the bytes of the incomplete event exceed [MAX_EVENT_BYTES], so that the stream is not sound. */
    val tooLong: Boolean
        get() = incomplete.readableBytes() > MAX_EVENT_BYTES

    /** Appends [bytes] and returns the bytes of the events that are now complete, or null when there are none. */
    fun append(bytes: ByteBuf): ByteBuf? {
        if (!incomplete.isReadable) incomplete = ByteBufAllocator.DEFAULT.buffer(bytes.readableBytes())
        val all = incomplete.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes())
        val end = completeEventsEnd(all)
        if (end == 0) return null
        incomplete = Unpooled.EMPTY_BUFFER
        if (end < all.readableBytes()) {
            val rest = all.readableBytes() - end
            incomplete = ByteBufAllocator.DEFAULT.buffer(rest).writeBytes(all, end, rest)
        }
        lineStart -= end
        searched = incomplete.readableBytes()
        return all.writerIndex(end)
    }

    /** Discards the buffered bytes. */
    fun reset() {
        incomplete.release()
        incomplete = Unpooled.EMPTY_BUFFER
        lineStart = 0
        searched = 0
        pendingId = null
    }

    /** Goes on with the search where it ended, so that the pieces of an event are not read again with each piece. */
    private fun completeEventsEnd(all: ByteBuf): Int {
        var end = 0
        val size = all.readableBytes()
        while (true) {
            val lineFeed = all.indexOf(searched, size, '\n'.code.toByte())
            if (lineFeed < 0) break
            val length = lineLength(all, lineStart, lineFeed)
            if (length == 0) {
                end = lineFeed + 1
                eventCount++
                lastEventId = pendingId ?: lastEventId
                pendingId = null
            } else {
                pendingId = parseId(all, lineStart, length) ?: pendingId
            }
            lineStart = lineFeed + 1
            searched = lineStart
        }
        searched = size
        return end
    }

    private fun lineLength(all: ByteBuf, start: Int, lineFeed: Int): Int {
        val length = lineFeed - start
        return if (length > 0 && all.getByte(lineFeed - 1) == '\r'.code.toByte()) length - 1 else length
    }

    private fun parseId(all: ByteBuf, start: Int, length: Int): Long? {
        if (length <= ID_PREFIX.length) return null
        for (i in ID_PREFIX.indices) if (all.getByte(start + i) != ID_PREFIX[i].code.toByte()) return null
        val idStart = start + ID_PREFIX.length
        return all.toString(idStart, length - ID_PREFIX.length, Charsets.US_ASCII).trim().toLongOrNull()
    }

    private companion object {
        /** Many times the longest event of the deployment profiles. */
        const val MAX_EVENT_BYTES = 65_536
        const val ID_PREFIX = "id:"
    }
}
