package io.apricotslip.gateway.buffer

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled
import kotlin.math.min

/**
 * Collects bytes that arrive in pieces of any size. Time and memory grow with the bytes, not with the pieces: a peer
 * may send them one by one.
 */
internal class PieceCollector {
    private val buffers = ArrayList<ByteBuf>()

    /** Number of bytes collected. */
    var size = 0
        private set

    /** Copies the bytes of [piece]. */
    fun add(piece: ByteBuf) {
        val rest = piece.slice()
        while (rest.isReadable) {
            val buffer = buffers.lastOrNull()?.takeIf { it.isWritable } ?: addBuffer(rest.readableBytes())
            val count = min(rest.readableBytes(), buffer.writableBytes())
            buffer.writeBytes(rest, count)
            size += count
        }
    }

    /** Returns the collected bytes, which the caller must release, and starts anew. */
    fun take(): ByteBuf {
        val taken = Unpooled.wrappedBuffer(buffers.size, *buffers.toTypedArray())
        buffers.clear()
        size = 0
        return taken
    }

    /** Discards the collected bytes. */
    fun discard() {
        take().release()
    }

    private fun addBuffer(bytes: Int): ByteBuf {
        val bytesToHold = maxOf(bytes, min(size, MAX_SPARE_BYTES), MIN_BUFFER_BYTES)
        return ByteBufAllocator.DEFAULT.buffer(bytesToHold, bytesToHold).also(buffers::add)
    }

    private companion object {
        const val MIN_BUFFER_BYTES = 256

        /** The last buffer may have this much room that nothing uses. */
        const val MAX_SPARE_BYTES = 16_384
    }
}
