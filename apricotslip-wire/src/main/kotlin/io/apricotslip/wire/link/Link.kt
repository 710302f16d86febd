package io.apricotslip.wire.link

import io.apricotslip.api.id.VmId
import io.apricotslip.api.time.Ticker
import io.apricotslip.wire.LinkOptions
import io.apricotslip.wire.PeerEvent
import io.apricotslip.wire.SendResult
import io.apricotslip.wire.frame.Frame
import io.apricotslip.wire.frame.FrameCodec
import io.apricotslip.wire.frame.FrameException
import io.apricotslip.wire.frame.Hello
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicReference

/** A connection on which hellos were exchanged; [hello] is the peer's. */
internal class Link(
    val hello: Hello,
    private val connection: Connection,
    private val options: LinkOptions,
    ticker: Ticker,
) {
    val peer: VmId = hello.vm
    private val outboundQueue = OutboundQueue(options.maxQueuedBytes)
    private val inboundBudget = InboundBudget(options.maxInboundBytes)
    private val readIdleTimer = ReadIdleTimer(ticker, options.silentMillis)
    private val closeReason = AtomicReference<String>()
    private val closed = Job()

    /** Queues the content of a frame for sending. */
    fun offer(content: ByteArray): SendResult = outboundQueue.offer(content)

    /** Whether the link was closed. */
    fun isClosed(): Boolean = closeReason.get() != null

    /** Closes the link and returns the reason of the first close; a later [reason] is ignored. */
    fun close(reason: String): String {
        closeReason.compareAndSet(null, reason)
        closed.complete()
        outboundQueue.close()
        connection.close()
        return closeReason.get()
    }

    /** Runs the link until it is closed; delivers received messages to [inbox]. */
    suspend fun serve(inbox: Inbox) {
        coroutineScope {
            val loops = listOf(
                launch { closeAfter { receive(inbox) } },
                launch { closeAfter { transmit() } },
                launch { closeAfter { runHeartbeat() } },
            )
            try {
                closed.join()
            } finally {
                close("stopped")
                loops.forEach { it.cancel() }
            }
        }
    }

    /** Runs [loop] and closes the link when it ends or fails. */
    private suspend fun closeAfter(loop: suspend () -> Unit) {
        try {
            loop()
            close("closed by the peer")
        } catch (e: FrameException) {
            close(e.message.orEmpty())
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            close("connection failed: ${e.message ?: e::class.simpleName}")
        }
    }

    private suspend fun receive(inbox: Inbox) {
        val reader = connection.reader(readIdleTimer::recordRead)
        while (true) {
            val frame = reader.read(options.maxFrameBytes) ?: return
            if (frame.hello != null) throw FrameException("second hello")
            val message = frame.message ?: continue
            readIdleTimer.pause()
            inbox.deliver(PeerEvent.Received(peer, message), reader.lastContentBytes, inboundBudget)
            readIdleTimer.resume()
        }
    }

    /** Writes queued frames; flushes when the queue is empty. */
    private suspend fun transmit() {
        val output = connection.output
        while (true) {
            var content = outboundQueue.take() ?: return
            while (true) {
                output.writeInt(content.size)
                output.writeFully(content)
                outboundQueue.release(content)
                content = outboundQueue.poll() ?: break
            }
            output.flush()
        }
    }

    /** Sends pings until nothing was read from the peer within the limit, and then closes the link. */
    private suspend fun runHeartbeat() {
        while (!readIdleTimer.isExpired()) {
            outboundQueue.offer(pingContent)
            awaitSilence(options.heartbeatMillis)
        }
        close("silent for ${options.silentMillis} ms")
    }

    /** Waits for [millis], or until the peer has been silent for too long. */
    private suspend fun awaitSilence(millis: Long) {
        var left = millis
        while (left > 0 && !readIdleTimer.isExpired()) {
            val step = minOf(left, readIdleTimer.remainingMillis())
            delay(step)
            left -= step
        }
    }

    private companion object {
        val pingContent = FrameCodec.encode(Frame.Ping)
    }
}
