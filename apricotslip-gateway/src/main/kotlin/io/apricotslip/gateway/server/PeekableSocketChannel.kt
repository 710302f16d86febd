package io.apricotslip.gateway.server

import io.netty.channel.socket.nio.NioSocketChannel
import java.io.IOException
import java.nio.ByteBuffer

/** A socket channel that tells whether input has arrived that the event loop has not read yet. */
internal class PeekableSocketChannel : NioSocketChannel() {
    enum class UnreadInput { NONE, BYTES, END }

    /** Looks for unread input, on the event loop. A byte that is found is lost, so that the channel must be closed. */
    fun findUnreadInput(): UnreadInput = try {
        when (javaChannel().read(ByteBuffer.allocate(1))) {
            0 -> UnreadInput.NONE
            1 -> UnreadInput.BYTES
            else -> UnreadInput.END
        }
    } catch (_: IOException) {
        // A connection that was reset has ended, too.
        UnreadInput.END
    }
}
