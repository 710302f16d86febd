package io.apricotslip.wire.frame

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import java.nio.ByteBuffer

/** Reads frames from [channel]; [onBytes] is called whenever bytes arrive. */
internal class FrameReader(private val channel: ByteReadChannel, private val onBytes: () -> Unit = {}) {
    /** Size of the content of the frame read last, in bytes. */
    var lastSize: Int = 0
        private set

    /**
     * Reads one frame of at most [maxBytes]; returns null when the peer closed the connection between frames, and
     * throws [FrameException] when it did so within one.
     */
    suspend fun read(maxBytes: Int): Frame? {
        val header = ByteArray(Int.SIZE_BYTES)
        if (!fill(header)) return null
        val size = ByteBuffer.wrap(header).getInt()
        if (size !in 1..maxBytes) throw FrameException("frame of $size bytes, limit $maxBytes")
        val content = ByteArray(size)
        if (!fill(content)) throw FrameException("frame cut after 0 of $size bytes")
        lastSize = size
        return FrameCodec.decode(content)
    }

    /** Fills [bytes]; returns false when the connection is at its end before the first of them. */
    private suspend fun fill(bytes: ByteArray): Boolean {
        var filled = 0
        while (filled < bytes.size) {
            val n = channel.readAvailable(bytes, filled, bytes.size - filled)
            if (n < 0 && filled == 0) return false
            if (n < 0) throw FrameException("frame cut after $filled of ${bytes.size} bytes")
            filled += n
            onBytes()
        }
        return true
    }
}
