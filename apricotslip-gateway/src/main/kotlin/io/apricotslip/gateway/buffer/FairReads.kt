package io.apricotslip.gateway.buffer

import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.RecvByteBufAllocator

/**
 * Bounds what one connection takes of a turn of the event loop. A peer that sends many small HTTP chunks costs far more
 * time a byte than others, and all connections of a node share one loop.
 */
internal object FairReads {
    private const val MIN_READ_BYTES = 64
    private const val INITIAL_READ_BYTES = 2_048

    /** A few thousand HTTP chunks of one byte, which take a few milliseconds. */
    private const val MAX_READ_BYTES = 16_384

    /** Returns an allocator for the received bytes of connections, one read a turn. */
    fun allocator(): RecvByteBufAllocator =
        AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1)
}
