package io.apricotslip.wire.link

import io.apricotslip.wire.SendResult
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.atomic.AtomicInteger

/** Frames waiting to be written to one socket, at most [maxBytes] in total; a frame counts until [release]. */
internal class OutboundQueue(private val maxBytes: Int) {
    private val frames = Channel<ByteArray>(Channel.UNLIMITED)
    private val queuedBytes = AtomicInteger()

    /** Adds [frame] unless the queue is full ([SendResult.FULL]) or closed ([SendResult.NO_LINK]). */
    fun offer(frame: ByteArray): SendResult {
        if (!reserve(frame.size)) return SendResult.FULL
        if (frames.trySend(frame).isSuccess) return SendResult.QUEUED
        release(frame)
        return SendResult.NO_LINK
    }

    /** Removes and returns the next frame, suspending until there is one; null once the queue is closed. */
    suspend fun take(): ByteArray? = frames.receiveCatching().getOrNull()

    /** Removes and returns the next frame, or null if there is none. */
    fun poll(): ByteArray? = frames.tryReceive().getOrNull()

    /** Releases the bytes of a [frame] that was written. */
    fun release(frame: ByteArray) {
        queuedBytes.addAndGet(-frame.size)
    }

    /** Drops the queued frames; later offers return [SendResult.NO_LINK]. */
    fun close() {
        frames.cancel()
    }

    private fun reserve(size: Int): Boolean {
        while (true) {
            val held = queuedBytes.get()
            if (size > maxBytes - held) return false
            if (queuedBytes.compareAndSet(held, held + size)) return true
        }
    }
}
