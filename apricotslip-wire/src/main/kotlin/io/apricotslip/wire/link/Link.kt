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

/** A link whose hellos were exchanged; [hello] is the peer's. */
internal class Link(
    val hello: Hello,
    private val connection: Connection,
    private val options: LinkOptions,
    ticker: Ticker,
) {
    val peer: VmId = hello.vm
    private val queue = OutboundQueue(options.maxQueuedBytes)
    private val budget = InboundBudget(options.maxInboundBytes)
    private val silence = Silence(ticker, options.silentMillis)
    private val ended = AtomicReference<String>()
    private val closed = Job()

    /** Queues the content of a frame. */
    fun offer(content: ByteArray): SendResult = queue.offer(content)

    /** Whether the link was closed. */
    fun isClosed(): Boolean = ended.get() != null

    /** Closes the link; the first [reason] counts and is returned. */
    fun close(reason: String): String {
        ended.compareAndSet(null, reason)
        closed.complete()
        queue.close()
        connection.close()
        return ended.get()
    }

    /** Serves the link until it is closed. */
    suspend fun serve(inbox: Inbox) {
        coroutineScope {
            val loops = listOf(
                launch { closeAfter { receive(inbox) } },
                launch { closeAfter { transmit() } },
                launch { closeAfter { watch() } },
            )
            try {
                closed.join()
            } finally {
                close("stopped")
                loops.forEach { it.cancel() }
            }
        }
    }

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
        val reader = connection.reader(silence::heard)
        while (true) {
            val frame = reader.read(options.maxFrameBytes) ?: return
            if (frame.hello != null) throw FrameException("second hello")
            val message = frame.message ?: continue
            silence.pause()
            inbox.deliver(PeerEvent.Received(peer, message), reader.lastSize, budget)
            silence.resume()
        }
    }

    private suspend fun transmit() {
        val output = connection.output
        while (true) {
            var content = queue.take() ?: return
            while (true) {
                output.writeInt(content.size)
                output.writeFully(content)
                queue.release(content)
                content = queue.poll() ?: break
            }
            output.flush()
        }
    }

    private suspend fun watch() {
        while (!silence.exceeded()) {
            queue.offer(ping)
            delay(options.heartbeatMillis)
        }
        close("silent for ${options.silentMillis} ms")
    }

    private companion object {
        val ping = FrameCodec.encode(Frame.Ping)
    }
}
