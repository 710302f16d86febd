package io.apricotslip.wire.frame

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readInt

/** Reads frames from [channel]; [onBytes] is called whenever bytes arrive. */
internal class FrameReader(private val channel: ByteReadChannel, private val onBytes: () -> Unit = {}) {
    /** Size of the content of the frame read last, in bytes. */
    var lastSize: Int = 0
        private set

    /** Reads one frame of at most [maxBytes]; returns null when the peer closed the connection between frames. */
    suspend fun read(maxBytes: Int): Frame? {
        if (!channel.awaitContent()) return null
        onBytes()
        val size = channel.readInt()
        onBytes()
        if (size !in 1..maxBytes) throw FrameException("frame of $size bytes, limit $maxBytes")
        val frame = FrameCodec.decode(readBody(size))
        lastSize = size
        return frame
    }

    private suspend fun readBody(size: Int): ByteArray {
        val body = ByteArray(size)
        var filled = 0
        while (filled < size) {
            val n = channel.readAvailable(body, filled, size - filled)
            if (n < 0) throw FrameException("frame cut after $filled of $size bytes")
            filled += n
            onBytes()
        }
        return body
    }
}
