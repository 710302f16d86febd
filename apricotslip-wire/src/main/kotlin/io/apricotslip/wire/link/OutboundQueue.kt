package io.apricotslip.wire.link

import io.apricotslip.wire.SendResult
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.atomic.AtomicInteger

/** Frames that wait for one socket, at most [maxBytes] of them together. */
internal class OutboundQueue(private val maxBytes: Int) {
    private val frames = Channel<ByteArray>(Channel.UNLIMITED)
    private val bytes = AtomicInteger()

    /** Adds [frame] unless the queue is full or closed. */
    fun offer(frame: ByteArray): SendResult {
        if (!reserve(frame.size)) return SendResult.FULL
        if (frames.trySend(frame).isSuccess) return SendResult.QUEUED
        release(frame)
        return SendResult.NO_LINK
    }

    /** Takes the next frame, waiting for one; null once the queue is closed. */
    suspend fun take(): ByteArray? = frames.receiveCatching().getOrNull()

    /** Takes the next frame if one waits. */
    fun poll(): ByteArray? = frames.tryReceive().getOrNull()

    /** Frees the bytes of a [frame] that was written. */
    fun release(frame: ByteArray) {
        bytes.addAndGet(-frame.size)
    }

    /** Drops what waits; later offers answer [SendResult.NO_LINK]. */
    fun close() {
        frames.cancel()
    }

    private fun reserve(size: Int): Boolean {
        while (true) {
            val held = bytes.get()
            if (size > maxBytes - held) return false
            if (bytes.compareAndSet(held, held + size)) return true
        }
    }
}
