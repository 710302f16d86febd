package io.apricotslip.wire.link

import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import org.tinylog.kotlin.Logger
import java.util.concurrent.atomic.AtomicBoolean

/** Accepts connections and serves them in [scope]; at most [maxHandshakes] of them may wait for the peer's hello. */
internal class Acceptor(
    private val server: ServerSocket,
    private val scope: CoroutineScope,
    private val handshaker: Handshaker,
    maxHandshakes: Int,
) {
    private val handshakePermits = Semaphore(maxHandshakes)

    /** Accepts connections until cancelled. */
    suspend fun run() {
        server.use {
            while (true) {
                handshakePermits.acquire()
                accept()
            }
        }
    }

    private suspend fun accept() {
        try {
            val socket = server.accept()
            scope.launch { serve(socket) }
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            handshakePermits.release()
            Logger.error { "event=accept_failed step=accept peer=${server.localAddress} reason=\"${e.message}\"" }
            delay(ACCEPT_RETRY_DELAY_MILLIS)
        }
    }

    private suspend fun serve(socket: Socket) {
        val permitReleased = AtomicBoolean()
        val releasePermit = { if (permitReleased.compareAndSet(false, true)) handshakePermits.release() }
        var peer = "unknown"
        try {
            val connection = Connection(socket)
            peer = connection.remoteAddress
            handshaker.serve(connection, expected = null, onHelloAccepted = releasePermit)
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            Logger.warn { "event=hello_failed step=hello peer=$peer reason=\"${e.message}\"" }
        } finally {
            releasePermit()
            socket.close()
        }
    }

    private companion object {
        /** Delay after a failed accept, for example when the process has run out of file descriptors. */
        const val ACCEPT_RETRY_DELAY_MILLIS = 100L
    }
}
