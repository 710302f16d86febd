package io.apricotslip.wire.frame

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import java.nio.ByteBuffer

/** Reads frames from [channel]; [onBytesRead] is called after each read that returned bytes. */
internal class FrameReader(private val channel: ByteReadChannel, private val onBytesRead: () -> Unit = {}) {
    /** Size of the content of the last frame read, in bytes. */
    var lastContentBytes: Int = 0
        private set

    /**
     * Reads one frame with at most [maxBytes] of content. Returns null if the peer closed the connection between
     * frames. Throws [FrameException] if it closed the connection within a frame, or if the frame is invalid.
     */
    suspend fun read(maxBytes: Int): Frame? {
        val header = ByteArray(Int.SIZE_BYTES)
        if (!readFully(header)) return null
        val size = ByteBuffer.wrap(header).getInt()
        if (size !in 1..maxBytes) throw FrameException("frame of $size bytes, limit $maxBytes")
        val content = ByteArray(size)
        if (!readFully(content)) throw FrameException("frame cut after 0 of $size bytes")
        lastContentBytes = size
        return FrameCodec.decode(content)
    }

    /** Fills [bytes]; returns false if the connection ended before the first byte. */
    private suspend fun readFully(bytes: ByteArray): Boolean {
        var bytesRead = 0
        while (bytesRead < bytes.size) {
            val count = channel.readAvailable(bytes, bytesRead, bytes.size - bytesRead)
            if (count < 0 && bytesRead == 0) return false
            if (count < 0) throw FrameException("frame cut after $bytesRead of ${bytes.size} bytes")
            bytesRead += count
            onBytesRead()
        }
        return true
    }
}
